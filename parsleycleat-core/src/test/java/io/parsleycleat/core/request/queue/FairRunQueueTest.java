package io.parsleycleat.core.request.queue;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.routing.MovableTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FairRunQueueTest {
    private MovableTime time;
    private List<String> started;
    private Map<String, Refusal> refused;
    private FairRunQueue queue;

    @BeforeMethod
    public void createQueue() {
        time = new MovableTime();
        started = new ArrayList<>();
        refused = new LinkedHashMap<>();
        queue = queue(QueueSettings.DEFAULT.withBounds(1, 400));
    }

    private FairRunQueue queue(QueueSettings settings) {
        return new FairRunQueue(settings, time, new MetricRegistry());
    }

    private QueuedRun run(String id, String account, int weight, boolean free, int tokens) {
        return new QueuedRun(
                id,
                account,
                weight,
                free,
                tokens,
                time.monotonicNanos() + Duration.ofHours(1).toNanos(),
                false,
                () -> started.add(id),
                refusal -> refused.put(id, refusal));
    }

    private static QueuedRun suspect(QueuedRun run) {
        return new QueuedRun(
                run.runId(),
                run.accountId(),
                run.weight(),
                run.freeTier(),
                run.tokens(),
                run.deadlineNanos(),
                true,
                run.start(),
                run.refuse());
    }

    private QueuedRun due(QueuedRun run, Duration in) {
        return new QueuedRun(
                run.runId(),
                run.accountId(),
                run.weight(),
                run.freeTier(),
                run.tokens(),
                time.monotonicNanos() + in.toNanos(),
                run.suspect(),
                run.start(),
                run.refuse());
    }

    private void offer(QueuedRun run) {
        assertEquals(queue.offer(run), Optional.empty());
    }

    /** Ends the newest started run until no run is left, and returns how many tokens each account started. */
    private Map<String, Integer> drain(int runs, Map<String, QueuedRun> byId) {
        Map<String, Integer> tokens = new LinkedHashMap<>();
        for (int i = 0; i < runs; i++) {
            QueuedRun run = byId.get(started.get(started.size() - 1));
            tokens.merge(run.accountId(), run.tokens(), Integer::sum);
            queue.finished(run.runId(), run.tokens());
        }
        return tokens;
    }

    @Test
    public void payingGoesBeforeFree() {
        offer(run("1", "x", 1, false, 10));
        offer(run("free", "f", 1, true, 10));
        offer(run("2", "x", 1, false, 10));
        queue.finished("1", 10);
        queue.finished("2", 10);
        assertEquals(started, List.of("1", "2", "free"));
    }

    @Test
    public void accountsShareTokensByWeight() {
        Map<String, QueuedRun> byId = new LinkedHashMap<>();
        offer(run("first", "z", 1, false, 1));
        byId.put("first", run("first", "z", 1, false, 1));
        for (int i = 0; i < 100; i++) {
            byId.put("a" + i, run("a" + i, "a", 1, false, 400));
            byId.put("b" + i, run("b" + i, "b", 1, false, 100));
            byId.put("c" + i, run("c" + i, "c", 2, false, 200));
        }
        byId.values().stream().skip(1).forEach(this::offer);
        Map<String, Integer> tokens = drain(150, byId);
        int quantum = QueueSettings.DEFAULT.quantumTokens();
        assertNear(tokens.get("b"), tokens.get("a"), 2 * quantum, tokens.toString());
        assertNear(tokens.get("c"), 2 * tokens.get("a"), 4 * quantum, tokens.toString());
    }

    @Test
    public void unusedTokensAreGivenBack() {
        Map<String, Integer> runs = new LinkedHashMap<>();
        offer(run("first", "z", 1, false, 1));
        for (int i = 0; i < 120; i++) {
            offer(run("a" + i, "a", 1, false, 2000));
            offer(run("b" + i, "b", 1, false, 100));
        }
        for (int i = 0; i < 200; i++) {
            String id = started.get(started.size() - 1);
            runs.merge(id.substring(0, 1), 1, Integer::sum);
            queue.finished(id, 100);
        }
        assertNear(runs.get("a"), runs.get("b"), 30, "both take 100 tokens a run: " + runs);
    }

    private static void assertNear(int actual, int expected, int tolerance, String message) {
        assertTrue(Math.abs(actual - expected) <= tolerance, message);
    }

    @Test
    public void freeTierStaysInItsShareWhilePayingWaits() {
        queue = queue(QueueSettings.DEFAULT.withBounds(8, 100));
        for (int i = 0; i < 10; i++) {
            offer(run("f" + i, "f", 1, true, 10));
        }
        assertEquals(queue.running(), 6, "two places are kept for paying runs");
        for (int i = 0; i < 10; i++) {
            offer(run("p" + i, "p", 1, false, 10));
        }
        for (int i = 0; i < 6; i++) {
            queue.finished("f" + i, 10);
        }
        assertEquals(started.stream().filter(s -> s.startsWith("p")).count(), 8);
        assertEquals(started.stream().filter(s -> s.startsWith("f")).count(), 6);
    }

    @Test
    public void queueIsBoundedAndTheFreeTierHasAPartOfIt() {
        queue = queue(QueueSettings.DEFAULT.withBounds(1, 8));
        offer(run("running", "p", 1, false, 10));
        offer(run("f1", "f", 1, true, 10));
        offer(run("f2", "f", 1, true, 10));
        Refusal full = queue.offer(run("f3", "f", 1, true, 10)).orElseThrow();
        assertEquals(full.code(), ResultCode.QUEUE_FULL);
        assertTrue(full.retry().isPresent());
        for (int i = 0; i < 6; i++) {
            offer(run("p" + i, "p", 1, false, 10));
        }
        assertEquals(queue.offer(run("p6", "p", 1, false, 10)).orElseThrow().code(), ResultCode.QUEUE_FULL);
    }

    @Test
    public void runThatCannotStartInTimeIsRefusedAtOnce() {
        offer(run("running", "p", 1, false, 10));
        offer(run("next", "p", 1, false, 10));
        QueuedRun hopeless = due(run("late", "p", 1, false, 10), Duration.ofMillis(1500));
        Refusal refusal = queue.offer(hopeless).orElseThrow();
        assertEquals(refusal.code(), ResultCode.DEADLINE_UNREACHABLE);
        assertEquals(refusal.retry().orElseThrow(), Duration.ofSeconds(2));
        assertEquals(refused, Map.of(), "no action is called after a refused offer");
    }

    @Test
    public void waitingRunIsRefusedWhenItsDeadlineCannotBeMet() {
        offer(run("running", "p", 1, false, 10));
        offer(due(run("a", "p", 1, false, 10), Duration.ofSeconds(3)));
        offer(due(run("b", "p", 1, false, 10), Duration.ofSeconds(3)));
        time.advance(Duration.ofMillis(2500));
        queue.expire();
        assertEquals(refused.keySet().toString(), "[b]", "b would start a second after a at the soonest");
        time.advance(Duration.ofSeconds(1));
        queue.expire();
        assertEquals(refused.keySet().toString(), "[b, a]");
        assertEquals(queue.waiting(), 0);
        assertEquals(started, List.of("running"));
    }

    @Test
    public void cancelledRunNeverStarts() {
        offer(run("running", "p", 1, false, 10));
        offer(run("a", "p", 1, false, 10));
        assertTrue(queue.cancel("a"));
        assertFalse(queue.cancel("a"));
        assertFalse(queue.cancel("running"));
        queue.finished("running", 10);
        assertEquals(started, List.of("running"));
        assertEquals(refused, Map.of());
    }

    @Test
    public void suspectsNeverRunTogether() {
        queue = queue(QueueSettings.DEFAULT.withBounds(4, 100));
        offer(suspect(run("s1", "p", 1, false, 10)));
        offer(suspect(run("s2", "p", 1, false, 10)));
        offer(suspect(run("s3", "f", 1, true, 10)));
        offer(run("plain", "p", 1, false, 10));
        assertEquals(started, List.of("s1", "plain"), "the second suspect waits, others pass it");
        queue.finished("s1", 10);
        queue.finished("s2", 10);
        assertEquals(started, List.of("s1", "plain", "s2", "s3"));
    }

    @Test
    public void sameRunIsTakenOnce() {
        offer(run("a", "p", 1, false, 10));
        assertEquals(queue.offer(run("a", "p", 1, false, 10)).orElseThrow().code(), ResultCode.ATTEMPT_IN_PROGRESS);
    }

    @Test
    public void fifoKeepsTheOrderOfArrival() {
        queue = queue(QueueSettings.DEFAULT.withBounds(1, 100).withPolicy(QueuePolicy.FIFO));
        List.of("1", "2", "3").forEach(id -> offer(run(id, id, 1, id.equals("2"), 10)));
        queue.finished("1", 10);
        queue.finished("2", 10);
        assertEquals(started, List.of("1", "2", "3"));
    }

    @Test
    public void smallAccountIsPromisedAShortWait() {
        offer(run("running", "big", 1, false, 10));
        for (int i = 0; i < 50; i++) {
            offer(run("big" + i, "big", 1, false, 10));
        }
        assertEquals(queue.expectedWaitMillis(false, "big"), 51_000);
        assertEquals(queue.expectedWaitMillis(false, "small"), 2_000);
    }
}
