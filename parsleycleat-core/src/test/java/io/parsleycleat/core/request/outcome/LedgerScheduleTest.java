package io.parsleycleat.core.request.outcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.wire.outcome.Outcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs sides against one log in schedules drawn from a seed: lost answers, late effects, pauses, replaced sides. */
public class LedgerScheduleTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 400;
    private static final int KEYS = 4;
    private static final int SIDES = 3;

    private static final class Schedule {
        private final Random random;
        private final ManualTime time = new ManualTime();
        private final FakeLog log = new FakeLog(time);
        private final List<Runnable> calls = new ArrayList<>();
        private final List<LogIntentLedger> sides = new ArrayList<>();
        private final List<CompletableFuture<IntentDecision>> decisions = new ArrayList<>();
        private final Map<String, String> executed = new HashMap<>();
        private final Set<String> allowedAndLost = new HashSet<>();
        private final List<String> violations = new ArrayList<>();
        private boolean faulty = true;
        private int owners;

        Schedule(long seed) {
            random = new Random(seed);
            IntStream.range(0, SIDES).forEach(i -> sides.add(newSide()));
        }

        LogIntentLedger newSide() {
            LogClient reordering = new LogClient() {
                @Override
                public CompletableFuture<Long> append(String stream, List<ByteString> values) {
                    return later(() -> withFault(() -> log.append(stream, values)));
                }

                @Override
                public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
                    return later(() -> withFault(() -> log.read(stream, from, limit, wait)));
                }
            };
            LedgerSettings settings = LedgerSettings.DEFAULTS.withShards(1);
            return new LogIntentLedger(reordering, time, time, "side" + owners++, settings);
        }

        private <T> CompletableFuture<T> later(Supplier<CompletableFuture<T>> call) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            calls.add(() -> call.get()
                    .whenComplete((value, failure) -> calls.add(() -> {
                        if (failure == null) {
                            answer.complete(value);
                        } else {
                            answer.completeExceptionally(failure);
                        }
                    })));
            return answer;
        }

        private <T> CompletableFuture<T> withFault(Supplier<CompletableFuture<T>> call) {
            int draw = faulty ? random.nextInt(20) : 0;
            log.setAppends(
                    switch (draw) {
                        case 17 -> FakeLog.Mode.ANSWER_LOST;
                        case 18 -> FakeLog.Mode.HELD_BACK;
                        case 19 -> FakeLog.Mode.REFUSES;
                        default -> FakeLog.Mode.WORKS;
                    });
            log.setReads(draw == 16 ? FakeLog.Mode.REFUSES : FakeLog.Mode.WORKS);
            return call.get();
        }

        void step() {
            switch (random.nextInt(8)) {
                case 0 -> begin(sides.get(random.nextInt(SIDES)), random.nextInt(KEYS));
                case 1 -> time.advance(Duration.ofMillis(random.nextInt(300)));
                case 2 -> {
                    if (random.nextInt(10) == 0) {
                        sides.set(random.nextInt(SIDES), newSide());
                    } else if (random.nextInt(10) == 0) {
                        log.release();
                    } else if (random.nextInt(20) == 0) {
                        time.pause(Duration.ofSeconds(3));
                    }
                }
                default -> call();
            }
        }

        private void call() {
            if (!calls.isEmpty()) {
                calls.remove(random.nextInt(calls.size())).run();
            }
        }

        CompletableFuture<IntentDecision> begin(LogIntentLedger side, int n) {
            String key = IdempotencyKeyTest.keyAt(Duration.ofDays(20_000).toMillis(), n);
            IntentRequest request = new IntentRequest("orders", "mekdes", key, ByteString.copyFromUtf8("body" + n));
            CompletableFuture<IntentDecision> decision = side.begin(request);
            decision.thenAccept(d -> follow(side, request, d));
            decisions.add(decision);
            return decision;
        }

        private void follow(LogIntentLedger side, IntentRequest request, IntentDecision decision) {
            String key = request.idempotencyKey();
            if (decision instanceof IntentDecision.Run run) {
                int draw = random.nextInt(5);
                if (draw == 0) {
                    side.cancel(request, run.attemptId());
                    return;
                }
                if (draw == 1) {
                    allowedAndLost.add(key);
                    return;
                }
                String before = executed.putIfAbsent(key, run.attemptId());
                if (before != null) {
                    violations.add(key + " ran as " + before + " and as " + run.attemptId());
                }
                if (draw == 2) {
                    side.abandon(request, run.attemptId());
                } else {
                    side.complete("orders", outcome(request, run.attemptId()));
                }
            } else if (decision instanceof IntentDecision.Recorded recorded) {
                String answer = recorded.outcome().getBody().toStringUtf8();
                if (!answer.equals(executed.get(key))) {
                    violations.add(key + " answered with " + answer);
                }
            }
        }

        private static Outcome outcome(IntentRequest request, String attemptId) {
            return Outcome.newBuilder()
                    .setAccountId(request.accountId())
                    .setIdempotencyKey(request.idempotencyKey())
                    .setAttemptId(attemptId)
                    .setBody(ByteString.copyFromUtf8(attemptId))
                    .build();
        }

        /** Lets the log work and everything that is under way come to its end. */
        void settle() {
            faulty = false;
            log.release();
            for (int i = 0; i < 50; i++) {
                while (!calls.isEmpty()) {
                    call();
                }
                time.advance(Duration.ofMillis(500));
            }
        }
    }

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, SEEDS).mapToObj(i -> new Object[] {(long) i}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void runsAtMostOnceAndFreesWhatDidNotRun(long seed) {
        Schedule schedule = new Schedule(seed);
        IntStream.range(0, STEPS).forEach(i -> schedule.step());
        schedule.settle();
        assertEquals(schedule.violations, List.of());
        assertTrue(schedule.decisions.stream().allMatch(CompletableFuture::isDone), "an attempt without a decision");
        LogIntentLedger replaced = schedule.newSide();
        for (int n = 0; n < KEYS; n++) {
            String key = IdempotencyKeyTest.keyAt(Duration.ofDays(20_000).toMillis(), n);
            boolean free = !schedule.executed.containsKey(key) && !schedule.allowedAndLost.contains(key);
            CompletableFuture<IntentDecision> last = schedule.begin(replaced, n);
            schedule.settle();
            assertEquals(last.join() instanceof IntentDecision.Run, free, key + " " + last.join());
            assertEquals(schedule.violations, List.of());
        }
    }
}
