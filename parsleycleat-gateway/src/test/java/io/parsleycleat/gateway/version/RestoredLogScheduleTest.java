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
 * Guards against versions that go back, and readers that never converge, when a log is restored from older copies.
 * Restores also occur twice in a row while answers of earlier eras are pending. The writers write lost records again
 * after a delay.
 */
public class RestoredLogScheduleTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 200;
    private static final int KEYS = 5;
    private static final int PAGE = 2;
    private static final int MAX_LOST = 6;

    @Test
    public void versionsNeverGoBackAndReadersConverge() {
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
        /** What the writers last wrote, whether the log still has it or not. */
        private final Map<String, Long> written = new HashMap<>();

        private final Map<String, Long> received = new HashMap<>();
        private final List<String> violations = new ArrayList<>();
        private long versions;
        private long era;
        private boolean faultsEnded;

        Schedule(int seed) {
            this.random = new SplittableRandom(seed);
        }

        List<String> run() {
            LogFollower follower = new LogFollower("log", this, this, FollowSettings.LOW_LATENCY, thread, time);
            follower.start();
            for (int step = 0; step < STEPS; step++) {
                writeOrRestore();
                thread.runFor(Duration.ofMillis(random.nextInt(250)));
            }
            faultsEnded = true;
            thread.runFor(Duration.ofSeconds(20));
            if (!received.equals(written)) {
                violations.add("the reader knows " + received + ", written was " + written);
            }
            return violations;
        }

        private void writeOrRestore() {
            int kind = random.nextInt(20);
            if (kind < 10) {
                write("k" + random.nextInt(KEYS));
            } else if (kind < 12) {
                restore();
            }
        }

        private void write(String key) {
            versions++;
            written.put(key, versions);
            append(key, versions);
        }

        private void append(String key, long version) {
            byte[] value = Long.toString(version).getBytes(StandardCharsets.UTF_8);
            records.add(new KeyedRecord(key, value, records.size()));
        }

        /** Loses the newest records; the writers detect this within two seconds. */
        private void restore() {
            int lost = random.nextInt(Math.min(MAX_LOST, records.size()) + 1);
            records.subList(records.size() - lost, records.size()).clear();
            era++;
            long millis = random.nextInt(2_000);
            thread.schedule(this::writeAgain, millis, TimeUnit.MILLISECONDS);
        }

        private void writeAgain() {
            Map<String, Long> kept = new HashMap<>();
            newest().forEach((key, r) -> kept.put(key, version(r)));
            written.forEach((key, version) -> {
                if (!version.equals(kept.get(key))) {
                    append(key, version);
                }
            });
        }

        private TreeMap<String, KeyedRecord> newest() {
            TreeMap<String, KeyedRecord> newest = new TreeMap<>();
            records.forEach(r -> newest.put(r.key(), r));
            return newest;
        }

        private static long version(KeyedRecord record) {
            return Long.parseLong(new String(record.value(), StandardCharsets.UTF_8));
        }

        @Override
        public CompletableFuture<NewestPage> readNewest(String afterKey) {
            return answer(() -> {
                TreeMap<String, KeyedRecord> all = newest();
                List<KeyedRecord> page = all.tailMap(afterKey, false).values().stream()
                        .limit(PAGE)
                        .toList();
                boolean more = !page.isEmpty()
                        && all.higherKey(page.get(page.size() - 1).key()) != null;
                return new NewestPage(page, more, end());
            });
        }

        @Override
        public CompletableFuture<Records> read(LogPosition from, Duration wait) {
            if (from.offset() > records.size()) {
                return CompletableFuture.failedFuture(new LogTrimmedException("log", from.offset(), records.size()));
            }
            return answer(() -> new Records(
                    List.copyOf(records.subList((int) Math.min(from.offset(), records.size()), records.size())),
                    end()));
        }

        private LogPosition end() {
            return new LogPosition(era, records.size());
        }

        /** Completes at once or later with the current state; some calls fail. */
        private <T> CompletableFuture<T> answer(Supplier<T> work) {
            int kind = faultsEnded ? 0 : random.nextInt(20);
            if (kind == 19) {
                return CompletableFuture.failedFuture(
                        new PlatformException(ResultCode.LOG_OUT, "down", Location.of("log")));
            }
            T value = work.get();
            CompletableFuture<T> answer = new CompletableFuture<>();
            long millis = kind > 14 ? random.nextInt(100, 700) : random.nextInt(1, 30);
            thread.schedule(() -> answer.complete(value), millis, TimeUnit.MILLISECONDS);
            return answer;
        }

        /** Keeps the highest version, as configurations and adapter versions do. */
        @Override
        public void onPut(String key, byte[] value) {
            received.merge(key, Long.parseLong(new String(value, StandardCharsets.UTF_8)), Math::max);
        }

        @Override
        public void onDelete(String key, boolean afterOutage) {
            if (!afterOutage) {
                violations.add(key + " was deleted although only the store lost it");
            }
        }
    }
}
