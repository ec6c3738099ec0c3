package io.parsleycleat.gateway.version;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.LogTrimmedException;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.ManualScheduler;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.version.follow.FollowSettings;
import io.parsleycleat.gateway.version.follow.KeyedLog;
import io.parsleycleat.gateway.version.follow.KeyedLogListener;
import io.parsleycleat.gateway.version.follow.KeyedRecord;
import io.parsleycleat.gateway.version.follow.LogFollower;
import io.parsleycleat.gateway.version.follow.LogPosition;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Guards against values that return to an earlier state and changes that never arrive. Random schedules combine writes,
 * deletions, trimmed records, pages that are not a snapshot, outdated and late answers, and outages. After a period
 * without faults the listener must have the same state as the log.
 */
public class FollowScheduleTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 300;
    private static final int KEYS = 6;
    private static final int PAGE = 2;

    @Test
    public void valuesNeverGoBackAndTheListenerConverges() {
        List<String> violations = IntStream.range(0, SEEDS)
                .boxed()
                .flatMap(seed -> new Schedule(seed).run().stream().map(f -> "seed " + seed + ": " + f))
                .toList();
        assertEquals(String.join("\n", violations), "");
    }

    private static final class Schedule implements KeyedLog, KeyedLogListener {
        private final SplittableRandom random;
        private final ManualTimeSource time = new ManualTimeSource();
        private final ManualScheduler thread = new ManualScheduler(time);
        private final List<KeyedRecord> records = new ArrayList<>();
        private final TreeMap<String, KeyedRecord> newest = new TreeMap<>();
        private final Map<String, Long> received = new HashMap<>();
        private final List<String> violations = new ArrayList<>();
        private long firstOffset;
        private boolean faultsEnded;

        Schedule(int seed) {
            this.random = new SplittableRandom(seed);
        }

        List<String> run() {
            LogFollower follower = new LogFollower("log", this, this, FollowSettings.LOW_LATENCY, thread, time);
            follower.start();
            for (int step = 0; step < STEPS; step++) {
                write();
                thread.runFor(Duration.ofMillis(random.nextInt(300)));
            }
            faultsEnded = true;
            thread.runFor(Duration.ofSeconds(20));
            Map<String, Long> expected = new HashMap<>();
            newest.forEach((key, r) -> expected.put(key, r.offset()));
            if (!received.equals(expected)) {
                violations.add("the listener has " + received + ", the log " + expected);
            }
            return violations;
        }

        private void write() {
            String key = "k" + random.nextInt(KEYS);
            int kind = random.nextInt(10);
            if (kind < 6) {
                add(key, Integer.toString(records.size()));
            } else if (kind == 6) {
                add(key, "");
            } else if (kind == 7) {
                firstOffset = records.size() - random.nextInt(Math.min(3, records.size()) + 1);
            }
        }

        private void add(String key, String value) {
            KeyedRecord added = new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8), records.size());
            records.add(added);
            if (added.isTombstone()) {
                newest.remove(key);
            } else {
                newest.put(key, added);
            }
        }

        @Override
        public CompletableFuture<NewestPage> readNewest(String afterKey) {
            return answer(() -> {
                List<KeyedRecord> page = newest.tailMap(afterKey, false).values().stream()
                        .limit(PAGE)
                        .toList();
                boolean more = !page.isEmpty()
                        && newest.higherKey(page.get(page.size() - 1).key()) != null;
                return new NewestPage(page, more, new LogPosition(0, records.size()));
            });
        }

        @Override
        public CompletableFuture<Records> read(LogPosition from, Duration wait) {
            if (from.offset() < firstOffset) {
                return CompletableFuture.failedFuture(new LogTrimmedException("log", from.offset(), firstOffset));
            }
            return answer(() -> new Records(
                    List.copyOf(records.subList((int) from.offset(), records.size())),
                    new LogPosition(0, records.size())));
        }

        /** Completes now or later with the current state; some calls fail. */
        private <T> CompletableFuture<T> answer(Supplier<T> work) {
            int kind = faultsEnded ? 0 : random.nextInt(20);
            if (kind == 19) {
                return CompletableFuture.failedFuture(
                        new PlatformException(ResultCode.LOG_OUT, "down", Location.of("log")));
            }
            T value = work.get();
            CompletableFuture<T> answer = new CompletableFuture<>();
            long millis = kind > 16 ? random.nextInt(100, 700) : random.nextInt(1, 30);
            thread.schedule(() -> answer.complete(value), millis, TimeUnit.MILLISECONDS);
            return answer;
        }

        @Override
        public void onPut(String key, byte[] value) {
            long offset = Long.parseLong(new String(value, StandardCharsets.UTF_8));
            Long before = received.put(key, offset);
            if (before != null && before > offset) {
                violations.add(key + " goes back from " + before + " to " + offset);
            }
        }

        @Override
        public void onDelete(String key, boolean afterOutage) {
            received.remove(key);
        }
    }
}
