package io.parsleycleat.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.AfterAll;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.scenario.Traffic.Answered;
import io.parsleycleat.standin.fleet.DaemonNode;
import io.parsleycleat.standin.fleet.OperatorClient;
import io.parsleycleat.standin.history.History;
import io.parsleycleat.standin.history.HistoryChecks;
import io.parsleycleat.standin.history.HistoryEvent;
import io.parsleycleat.standin.history.HistoryRecorder;
import io.parsleycleat.standin.history.Violation;
import io.parsleycleat.wire.operators.ApplyState;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** What the scenarios' sentences do. Created by Cucumber for each scenario. */
public class Steps {
    private static final long BEGIN_MILLIS = 300;
    private static final long LAST_MILLIS = 1200;
    private static final long ENGINE_RESTART_MILLIS = 1000;
    private static final long GAP_MILLIS = 60;
    private static final String ITEM = "account";
    private static final long LIMIT_SECONDS = 60;
    private static final HistoryChecks CHECKS =
            new HistoryChecks(Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(15));

    private final HistoryRecorder recorder = new HistoryRecorder();
    private final List<Answered> answers = new ArrayList<>();
    private final List<ApplyState> states = new ArrayList<>();
    private Deployment deployment;
    private UpstreamRecords records;
    private Traffic traffic;

    /** Ends all processes. */
    @AfterAll
    public static void stopDeployments() {
        Deployment.closeAll();
    }

    @Given("the {word} deployment")
    public void deployment(String name) {
        deployment = Deployment.of(name);
        records = new UpstreamRecords(deployment);
        String key = deployment.key();
        String secret = key.substring(key.indexOf('.') + 1);
        recorder.add(new HistoryEvent.KeyIssued(0, deployment.keyId(), deployment.account(), secret));
        recorder.add(new HistoryEvent.Ownership(0, deployment.service(), "", false));
        Deployment.ADAPTERS.forEach(a -> recorder.add(new HistoryEvent.Ownership(0, a, deployment.account(), false)));
        traffic = new Traffic(deployment, recorder, 0);
    }

    @When("with seed {long} {int} {word} are sent while {}")
    public void sent(long seed, int count, String what, String disturbances) {
        traffic = new Traffic(deployment, recorder, seed);
        CompletableFuture<Void> requests =
                what.equals("completions") ? traffic.completions(count, GAP_MILLIS) : traffic.orders(count, GAP_MILLIS);
        List<CompletableFuture<Void>> running = new ArrayList<>(List.of(requests));
        Disturbance.parse(deployment, disturbances)
                .forEach(d -> running.add(d.run(recorder, BEGIN_MILLIS, LAST_MILLIS)));
        await(CompletableFuture.allOf(running.toArray(CompletableFuture<?>[]::new)));
    }

    @When("an order is sent through each entry, one after the other, with one idempotency key")
    public void repeated() {
        String key = traffic.newKey();
        for (int i = 0; i < deployment.entries().size(); i++) {
            answers.add(await(traffic.orderOnce(deployment.entries().get(i), "repeat" + key + i, key, key)));
        }
    }

    @When("an order is sent through all entries at once with one idempotency key")
    public void atOnce() {
        String key = traffic.newKey();
        List<CompletableFuture<Answered>> sent = new ArrayList<>();
        for (int i = 0; i < deployment.entries().size() * 4; i++) {
            DaemonNode entry = deployment.entries().get(i % deployment.entries().size());
            sent.add(traffic.orderOnce(entry, "once" + key + i, key, key));
        }
        sent.forEach(s -> answers.add(await(s)));
    }

    @When("another order is sent with an idempotency key that was used")
    public void reused() {
        String key = traffic.newKey();
        await(traffic.orderOnce(deployment.entries().get(0), "first" + key, "one", key));
        answers.add(await(traffic.orderOnce(deployment.entries().get(1), "second" + key, "two", key)));
    }

    @When("with seed {long} {int} completions are sent beside one that crashes engines, sent {int} times")
    public void crashing(long seed, int count, int times) {
        traffic = new Traffic(deployment, recorder, seed);
        CompletableFuture<Void> others = traffic.completions(count, GAP_MILLIS);
        for (int n = 0; n < times; n++) {
            DaemonNode entry = deployment.entries().get(n % deployment.entries().size());
            answers.add(await(traffic.crash(entry)));
            // The engine is back before the next repeat.
            await(CompletableFuture.supplyAsync(
                    () -> seed, CompletableFuture.delayedExecutor(ENGINE_RESTART_MILLIS, TimeUnit.MILLISECONDS)));
        }
        await(others);
    }

    @When("the key is withdrawn")
    public void withdrawn() {
        try (OperatorClient operator = deployment.operator(0)) {
            ApplyState state = operator.withdrawKey(deployment.keyId()).getState();
            assertTrue(
                    state == ApplyState.APPLY_STATE_ACCEPTED || state == ApplyState.APPLY_STATE_IN_FORCE_NOT_RECORDED,
                    state.name());
        }
        recorder.add(new HistoryEvent.KeyWithdrawn(System.currentTimeMillis(), deployment.keyId()));
    }

    @When("the key is withdrawn while the log is out")
    public void withdrawnWithoutLog() {
        Disturbance outage = Disturbance.parse(deployment, "the log is out").get(0);
        outage.begin().run();
        try {
            withdrawn();
        } finally {
            outage.end().run();
        }
    }

    @When("{int} operators change the rate of one client account at once")
    public void race(int operators) {
        List<OperatorClient> clients = List.of(deployment.operator(0), deployment.operator(1));
        long version = deployment.accountVersion(clients.get(0));
        List<CompletableFuture<ApplyState>> results = IntStream.range(0, operators)
                .mapToObj(i -> deployment.changeRate(clients.get(i % clients.size()), version, 100_000 + i))
                .toList();
        results.forEach(r -> states.add(await(r)));
        clients.forEach(OperatorClient::close);
    }

    @When("a change is accepted, the log goes out and an entry is replaced")
    public void replacedWithoutLog() {
        try (OperatorClient operator = deployment.operator(0)) {
            long before = deployment.accountVersion(operator);
            assertEquals(await(deployment.changeRate(operator, before, 90_000)), ApplyState.APPLY_STATE_ACCEPTED);
            long version = deployment.accountVersion(operator);
            assertTrue(version > before, "the accepted change is not shown");
            recorder.add(new HistoryEvent.ChangeAccepted(System.currentTimeMillis(), ITEM, version));
        }
        Disturbance outage = Disturbance.parse(deployment, "the log is out").get(0);
        outage.begin().run();
        try {
            deployment.entries().get(1).process().kill();
            deployment.restart(deployment.entries(), 1);
        } finally {
            outage.end().run();
        }
    }

    @Then("every entry shows the change")
    public void shown() {
        for (int i = 0; i < deployment.entries().size(); i++) {
            try (OperatorClient operator = deployment.operator(i)) {
                long version = deployment.accountVersion(operator);
                // The entry was ready, so that the change must be in force in it whatever time has passed.
                recorder.add(new HistoryEvent.ItemRead(Long.MAX_VALUE, "entry " + i, ITEM, version));
            }
        }
        whatMustHold();
    }

    @When("the side of an engine is frozen, replaced and wakes while with seed {long} {int} completions are sent")
    public void succeeded(long seed, int count) {
        DaemonNode paused = deployment.engineSides().get(0);
        paused.process().freeze();
        deployment.succeed(0);
        CompletableFuture<Void> wake = CompletableFuture.runAsync(
                () -> paused.process().thaw(), CompletableFuture.delayedExecutor(BEGIN_MILLIS, TimeUnit.MILLISECONDS));
        sent(seed, count, "completions", "nothing fails");
        await(wake);
        deployment.fleet().unlist(paused.vm().name());
        paused.process().terminate();
    }

    @Then("exactly one of them is accepted and the others are told of the conflict")
    public void oneAccepted() {
        assertEquals(
                states.stream()
                        .filter(s -> s == ApplyState.APPLY_STATE_ACCEPTED)
                        .count(),
                1,
                "" + states);
        long conflicts = states.stream()
                .filter(s -> s == ApplyState.APPLY_STATE_CONFLICT)
                .count();
        assertEquals(conflicts, states.size() - 1, "" + states);
    }

    @When("an engine is leaving and with seed {long} {int} completions are sent")
    public void leaving(long seed, int count) {
        DaemonNode side = deployment.engineSides().get(0);
        String engine = deployment.engines().get(0).process().name();
        deployment.fleet().list(side, true);
        recorder.add(new HistoryEvent.Leaving(System.currentTimeMillis(), engine));
        try {
            sent(seed, count, "completions", "nothing fails");
        } finally {
            deployment.fleet().list(side, false);
        }
    }

    @Then("requests through every entry are refused within {int} seconds")
    public void refusedEverywhere(int seconds) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (DaemonNode entry : deployment.entries()) {
            int code;
            do {
                String key = traffic.newKey();
                code = await(traffic.orderOnce(entry, "late" + key, "late", key))
                        .code();
            } while (code != ResultCode.KEY_WITHDRAWN.number() && System.nanoTime() - deadline < 0);
            assertEquals(code, ResultCode.KEY_WITHDRAWN.number());
        }
        whatMustHold();
        deployment.renewKey();
    }

    @Then("all answers are the same and the order ran once")
    public void same() {
        assertEquals(answers.stream().distinct().count(), 1, answers.toString());
        assertTrue(answers.get(0).isDone(), answers.toString());
        whatMustHold();
    }

    @Then("the order ran once")
    public void ranOnce() {
        assertEquals(records.runs().size(), 1, answers.toString());
        whatMustHold();
    }

    @Then("the answer is {word}")
    public void answerIs(String name) {
        assertEquals(
                answers.get(answers.size() - 1).code(), ResultCode.valueOf(name).number());
        whatMustHold();
    }

    @Then("at most {int} engines crashed and the last of these answers is {word}")
    public void crashes(int most, String name) {
        List<String> crashes = records.engineEvents("CRASH");
        assertTrue(!crashes.isEmpty() && crashes.size() <= most, "crashes: " + crashes);
        int last = answers.get(answers.size() - 1).code();
        assertEquals(last, ResultCode.valueOf(name).number(), answers.toString());
    }

    @Then("all {int} are confirmed")
    public void confirmed(int count) {
        whatMustHold();
        assertEquals(traffic.confirmed(), count);
    }

    @Then("at least {int} are confirmed")
    public void confirmedAtLeast(int count) {
        whatMustHold();
        assertTrue(traffic.confirmed() >= count, "confirmed: " + traffic.confirmed());
    }

    private void whatMustHold() {
        records.runs().stream()
                .filter(r -> !r.request().equals(Traffic.CRASHING))
                .forEach(recorder::add);
        History history = recorder.history();
        List<Violation> violations = CHECKS.check(history);
        if (!violations.isEmpty()) {
            keep(history);
        }
        assertEquals(violations, List.of());
        assertEquals(records.engineEvents("VIOLATION"), List.of());
    }

    /** Keeps a history that was rejected, for finding the cause. */
    private static void keep(History history) {
        try {
            Path directory = Files.createDirectories(Path.of("target", "histories"));
            Files.writeString(directory.resolve(System.currentTimeMillis() + ".jsonl"), history.toJsonLines());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <T> T await(CompletableFuture<T> future) {
        return future.orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS).join();
    }
}
