package io.parsleycleat.core.request.serve;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.connection.peer.FakeSides;
import io.parsleycleat.core.process.limits.Reservation;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.routing.Selection;
import io.parsleycleat.core.request.routing.SelectionRequest;
import io.parsleycleat.core.request.serve.EntryFixture.RecordedExchange;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.IdempotencyRule;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.run.RunMessage;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Changes of each field of the configuration at each stage of each kind of request, beside refusals, lost upstreams,
 * callers that leave and stops, in an order that a seed decides.
 */
public class GeneratedChangeTest {
    private static final int CASES_PER_SEED = 1_000;
    private static final int MAX_STEPS = 30;
    /** Attempts that a side refused, after which the request may be refused, too. */
    private static final int MAX_REFUSED_ATTEMPTS = 2;

    private static final List<Function<EntryFixture, RecordedExchange>> KINDS =
            List.of(EntryFixture::get, EntryFixture::post, e -> e.complete(true), e -> e.complete(false));

    private static final List<Consumer<EntryFixture>> CHANGES = List.of(
            e -> e.put(account(1, 1, 1, false)),
            e -> e.put(account(10_000, 1_000_000, 50, false)),
            e -> e.put(account(100, 10_000, 1, true)),
            e -> e.remove(ItemKind.ITEM_KIND_ACCOUNT, "one"),
            e -> e.put(EntryFixture.route(IdempotencyRule.IDEMPOTENCY_RULE_ALL_METHODS)
                    .build()),
            e -> e.put(EntryFixture.route(IdempotencyRule.IDEMPOTENCY_RULE_NO_METHODS)
                    .build()),
            e -> e.put(EntryFixture.route(IdempotencyRule.IDEMPOTENCY_RULE_SAFE_METHODS)
                    .addAccountIds("another")
                    .build()),
            e -> e.put(Route.newBuilder().setId("orders").setService("other").build()),
            e -> e.put(Route.newBuilder()
                    .setId("orders")
                    .setAdapterId("tuned")
                    .setOpenToAll(true)
                    .setUnkeyedAccountId("one")
                    .build()),
            e -> e.remove(ItemKind.ITEM_KIND_ROUTE, "orders"),
            e -> e.remove(ItemKind.ITEM_KIND_ADAPTER, "tuned"),
            e -> e.put(adapter("base", "", "1", "2")),
            e -> e.put(adapter("base", "", "2")),
            e -> e.put(adapter("other", "", "1")),
            e -> e.put(adapter("base", "another", "1")));

    private static Account account(double rate, double burst, int weight, boolean free) {
        return Account.newBuilder()
                .setId("one")
                .setTokensPerSecond(rate)
                .setBurstTokens(burst)
                .setWeight(weight)
                .setFreeTier(free)
                .build();
    }

    private static Adapter adapter(String model, String owner, String... versions) {
        return Adapter.newBuilder()
                .setId("tuned")
                .setBaseModel(model)
                .setOwnerAccountId(owner)
                .addAllVersions(List.of(versions))
                .setCurrentVersion(versions[versions.length - 1])
                .build();
    }

    @DataProvider
    public Object[][] seeds() {
        return IntStream.rangeClosed(1, 8).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    /** Guards against a request that a change ends, repeats, loses or answers with a refusal that is not true. */
    @Test(dataProvider = "seeds")
    public void requestEndsOnceAndTrulyWhateverChanges(int seed) {
        IntStream.range(0, CASES_PER_SEED).forEach(i -> new Case(seed, i).play());
    }

    /** A run at a side. */
    private static final class Run {
        private final RunMessage start;
        private final FakeSides.Channel channel;
        private boolean begun;
        private boolean ended;

        Run(RunMessage start, FakeSides.Channel channel) {
            this.start = start;
            this.channel = channel;
        }
    }

    /** One request and what happens to it. */
    private static final class Case {
        private final String name;
        private final Random random;
        private final EntryFixture entry;
        /** The changes that are made, again and again. */
        private final List<Consumer<EntryFixture>> changes;
        /** How many in four steps fail. */
        private final int failing;

        private final List<CompletableFuture<Either<Refusal, Reservation>>> tokens = new ArrayList<>();
        private final List<Runnable> choices = new ArrayList<>();
        private final List<Run> runs = new ArrayList<>();
        private final RecordedExchange caller;
        private final boolean once;
        private int granted;
        private int refusedRuns;
        private int startsAtWithdrawal = -1;
        /** Starts that were sent before a run that may have run, and must not be repeated, ended. */
        private int startsAllowed = Integer.MAX_VALUE;

        /** Whether anything but a change happened that may end the request without a whole answer. */
        private boolean excused;

        private boolean left;
        private boolean judged;

        Case(int seed, int number) {
            name = "seed " + seed + " case " + number;
            random = new Random(seed * 1_000_003L + number);
            entry = new EntryFixture(random.nextInt(2));
            changes = random.ints(1 + random.nextInt(3), 0, CHANGES.size())
                    .mapToObj(CHANGES::get)
                    .toList();
            failing = random.nextInt(4);
            entry.limiter = (account, wanted) -> {
                tokens.add(new CompletableFuture<>());
                return tokens.get(tokens.size() - 1);
            };
            entry.selector = this::choose;
            EntryFixture.SIDES.forEach(side -> entry.sides.add(side, (message, channel) -> {
                if (message.hasStart()) {
                    runs.add(new Run(message, channel));
                }
            }));
            int kind = random.nextInt(KINDS.size());
            once = kind == 1;
            caller = KINDS.get(kind).apply(entry);
        }

        private CompletableFuture<Either<Refusal, Selection>> choose(SelectionRequest request) {
            CompletableFuture<Either<Refusal, Selection>> choice = new CompletableFuture<>();
            choices.add(() -> choice.complete(EntryFixture.firstAllowed(request)));
            return choice;
        }

        void play() {
            for (int step = 0; step < MAX_STEPS && caller.ends() == 0 && !left; step++) {
                step();
                judge();
            }
            if (random.nextBoolean()) {
                excused |= caller.ends() == 0 && entry.scheduler.monotonicNanos() >= startNanos();
                succeed();
            } else {
                excused |= caller.ends() == 0;
            }
            entry.scheduler.advance(EntryFixture.MAX_ANSWER.toMillis() + EntryFixture.START_DEADLINE.toMillis());
            judge();
            judgeEnd();
        }

        // What happens

        private void step() {
            int kind = random.nextInt(20);
            if (kind < 8) {
                changes.get(random.nextInt(changes.size())).accept(entry);
            } else if (kind == 8) {
                withdraw();
            } else if (kind == 9) {
                disturb();
            } else if (kind < 12) {
                entry.scheduler.advance(random.nextInt(3_000));
                excused |= entry.scheduler.monotonicNanos() >= startNanos();
            } else {
                goOn(random.nextInt(4) < failing);
            }
        }

        private static long startNanos() {
            return EntryFixture.START_DEADLINE.toNanos();
        }

        private void withdraw() {
            if (startsAtWithdrawal < 0) {
                startsAtWithdrawal = entry.starts().size();
                entry.withdrawKey();
            }
        }

        private void disturb() {
            excused = true;
            if (random.nextBoolean()) {
                left = true;
                caller.leave();
            } else {
                entry.service.stop();
                entry.service.endOpenRequests();
            }
        }

        /** Lets the request go on by one step, or fail in it. */
        private void goOn(boolean fails) {
            Optional<Run> run = runs.stream().filter(r -> !r.ended).findFirst();
            Optional<CompletableFuture<Either<Refusal, Reservation>>> waiting =
                    tokens.stream().filter(t -> !t.isDone()).findFirst();
            if (run.isPresent()) {
                runOn(run.get(), fails);
            } else if (waiting.isPresent()) {
                decideTokens(waiting.get(), fails && random.nextInt(4) == 0);
            } else if (!choices.isEmpty()) {
                choices.remove(0).run();
            }
        }

        private void decideTokens(CompletableFuture<Either<Refusal, Reservation>> waiting, boolean fails) {
            if (fails) {
                excused = true;
                waiting.complete(Either.left(Refusal.of(ResultCode.RATE_EXCEEDED)));
            } else {
                granted++;
                entry.granted().thenAccept(waiting::complete);
            }
        }

        private void runOn(Run run, boolean fails) {
            if (fails) {
                fail(run);
            } else if (run.begun) {
                end(run, ResultCode.DONE);
            } else {
                run.begun = true;
                EntryFixture.begin(run.start, run.channel);
            }
        }

        private void fail(Run run) {
            int kind = random.nextInt(6);
            if (run.begun || kind < 3) {
                excused = true;
                if (once || !isRepeatableNow()) {
                    startsAllowed = Math.min(startsAllowed, runs.size());
                }
                end(run, ResultCode.UPSTREAM_LOST);
            } else if (kind == 3) {
                refusedRuns++;
                end(run, ResultCode.EPOCH_STALE);
            } else if (kind == 4) {
                refusedRuns++;
                end(run, ResultCode.NO_UPSTREAM);
            } else {
                excused = true;
                end(run, ResultCode.QUEUE_FULL);
            }
            excused |= refusedRuns >= MAX_REFUSED_ATTEMPTS;
        }

        private boolean isRepeatableNow() {
            return !runs.get(0).start.getStart().hasService()
                    || entry.current()
                            .route("orders")
                            .filter(r -> r.getService().equals("orders"))
                            .map(Route::getIdempotency)
                            .filter(IdempotencyRule.IDEMPOTENCY_RULE_NO_METHODS::equals)
                            .isEmpty();
        }

        private void end(Run run, ResultCode code) {
            run.ended = true;
            EntryFixture.end(run.start, run.channel, code, run.begun ? 1 : 0);
        }

        private void succeed() {
            for (int round = 0; round < MAX_STEPS; round++) {
                goOn(false);
                judge();
            }
        }

        // What must hold

        /** Compares the answer with what ran, in the moment in which the caller gets it. */
        private void judge() {
            if (judged || caller.ends() == 0) {
                return;
            }
            judged = true;
            boolean mayHaveRun = runs.stream().anyMatch(r -> r.begun || !r.ended) || startsAllowed < Integer.MAX_VALUE;
            boolean toldNotRun =
                    ResultCode.ofNumber(caller.code()).map(ResultCode::isNotRun).orElse(false);
            assertFalse(mayHaveRun && toldNotRun, name + ": told that it did not run: " + caller);
            boolean stoppedByWithdrawal = caller.code() == ResultCode.KEY_WITHDRAWN.number() && startsAtWithdrawal >= 0;
            assertTrue(excused || stoppedByWithdrawal || caller.isWhole(), name + ": ended by a change: " + caller);
        }

        private void judgeEnd() {
            assertEquals(caller.ends(), left ? Math.min(1, caller.ends()) : 1, name + ": ends: " + caller);
            assertEquals(entry.service.openRequests(), 0, name + ": open requests");
            assertEquals(entry.settled.size(), granted, name + ": tokens that were given back or used");
            int starts = entry.starts().size();
            assertTrue(starts <= startsAllowed, name + ": repeated: " + starts + " starts");
            assertTrue(
                    startsAtWithdrawal < 0 || starts == startsAtWithdrawal,
                    name + ": started after the withdrawal of its key");
        }
    }
}
