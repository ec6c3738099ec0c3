package io.parsleycleat.core.version.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.parsleycleat.core.connection.platform.LogEntry;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.FakeFleet.Node;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ChangeResult;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigurationFuzzTest {
    private static final int SEEDS = 25;
    private static final int STEPS = 120;
    private static final long MAX_FAULT_MILLIS = 6_000;
    private static final Duration RETENTION = Duration.ofSeconds(120);

    private FakeFleet fleet;
    private Random random;
    private int restarts;
    private final Map<String, AuditEntry> told = new HashMap<>();
    private final Set<String> withdrawn = new HashSet<>();

    @DataProvider
    public Object[][] seeds() {
        return IntStream.rangeClosed(1, SEEDS)
                .mapToObj(i -> new Object[] {(long) i})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void sameLogSameStateAndNothingAcceptedReverts(long seed) throws InvalidProtocolBufferException {
        random = new Random(seed);
        told.clear();
        withdrawn.clear();
        restarts = 0;
        fleet = FakeFleet.of(StoreSettings.DEFAULTS.withLogRetention(RETENTION), 2, 3);
        assertTrue(fleet.time.advanceUntil(fleet::allReady, 20_000));
        fleet.all().forEach(this::watch);
        List<Change> changes = ConfigurationStateTest.randomChanges(random, STEPS);
        for (Change change : changes) {
            step(change);
            fleet.time.advance(random.nextInt(400));
            fleet.log.trimOlderThan(RETENTION);
        }
        healAll();
        assertTrue(fleet.time.advanceUntil(() -> fleet.allReady() && fleet.allAt(fleet.log.end()), 60_000));
        ConfigurationState expected = foldHistory();
        fleet.all()
                .forEach(n -> assertEquals(
                        n.store().state().withVersion(fleet.log.end()).toSnapshot(),
                        expected.withVersion(fleet.log.end()).toSnapshot()));
        told.forEach((id, entry) ->
                assertEquals(expected.result(id).orElseThrow().getResult(), entry.getResult(), "change " + id));
        withdrawn.forEach(id -> assertTrue(expected.isWithdrawn(id), "withdrawal of " + id));
        assertTrue(told.values().stream().anyMatch(e -> e.getResult() == ChangeResult.CHANGE_RESULT_ACCEPTED));
    }

    private void step(Change change) {
        Node node = pick();
        switch (random.nextInt(12)) {
            case 0 -> fault(() -> fleet.log.setOut(true), () -> fleet.log.setOut(false));
            case 1 -> fault(
                    () -> fleet.log.cutOff(node.vm().name()),
                    () -> fleet.log.reconnect(node.vm().name()));
            case 2 -> fault(
                    () -> fleet.sever(node.vm().name()),
                    () -> fleet.heal(node.vm().name()));
            case 3 -> fleet.log.loseAnswers(1 + random.nextInt(2));
            case 4 -> restart(node);
            case 5 -> fleet.log.append(
                    List.of(Changes.record(change).toByteString(), ByteString.copyFromUtf8("not a record")));
            default -> {}
        }
        ask(pick(), change);
        if (random.nextInt(4) == 0) {
            ask(pick(), change);
        }
    }

    private void ask(Node node, Change change) {
        if (ChangeRules.isWithdrawal(change)) {
            node.store().withdraw(change).whenComplete((entry, failure) -> {
                note(entry);
                if (failure instanceof PlatformException e && e.code() == ResultCode.CHANGE_NOT_RECORDED) {
                    withdrawn.add(change.getItemId());
                }
            });
        } else {
            node.store().append(change).whenComplete((e, f) -> note(e));
        }
    }

    private void note(AuditEntry entry) {
        if (entry != null) {
            AuditEntry earlier = told.putIfAbsent(entry.getChange().getChangeId(), entry);
            assertTrue(earlier == null || earlier.getOffset() == entry.getOffset(), "two answers to one change");
        }
    }

    private Node pick() {
        List<Node> all = new ArrayList<>(fleet.all());
        return all.get(random.nextInt(all.size()));
    }

    private void fault(Runnable begin, Runnable end) {
        begin.run();
        fleet.time.schedule(end, random.nextLong(MAX_FAULT_MILLIS), TimeUnit.MILLISECONDS);
    }

    private void restart(Node node) {
        if (fleet.all().stream().filter(n -> n.store().isReady()).count() < 4) {
            return;
        }
        fleet.remove(node.vm().name());
        watch(fleet.add("new-" + restarts++, node.vm().dataCentre()));
    }

    private void watch(Node node) {
        AtomicLong last = new AtomicLong();
        node.store().onChange(view -> {
            assertTrue(view.version() >= last.getAndSet(view.version()), "a view went back");
        });
    }

    private void healAll() {
        fleet.time.advance(MAX_FAULT_MILLIS);
        fleet.log.setOut(false);
    }

    private ConfigurationState foldHistory() throws InvalidProtocolBufferException {
        ConfigurationState state = ConfigurationState.EMPTY;
        for (LogEntry entry : fleet.log.history()) {
            state = state.apply(entry.offset(), record(entry.value()));
        }
        return state;
    }

    private static ConfigurationRecord record(ByteString value) {
        try {
            return ConfigurationRecord.parseFrom(value);
        } catch (InvalidProtocolBufferException e) {
            return ConfigurationRecord.getDefaultInstance();
        }
    }
}
