package io.parsleycleat.gateway.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.result.LogTrimmedException;
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
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a record that cannot be used, or whose listener fails, and that hides other records of the same read
 * or ends the following of the log.
 */
public class OddRecordFollowTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 60;
    private static final Duration AFTER_READ = Duration.ofMillis(300);
    private static final String ODD = "odd";

    private ManualTimeSource time;
    private ManualScheduler scheduler;
    private MemoryLog log;
    private TreeMap<String, String> state;
    private LogFollower follower;

    /** A keyed log in memory whose reads never wait. */
    private static final class MemoryLog implements KeyedLog {
        private final List<KeyedRecord> records = new ArrayList<>();
        private final TreeMap<String, KeyedRecord> newest = new TreeMap<>();
        private int firstOffset;
        private int readsThatThrow;
        private int pageReads;
        private @Nullable List<KeyedRecord> stuckPage;
        private boolean down;

        void add(String key, String value) {
            KeyedRecord added = new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8), records.size());
            records.add(added);
            if (added.isTombstone()) {
                newest.remove(key);
            } else {
                newest.put(key, added);
            }
        }

        void trim() {
            firstOffset = records.size() + 1;
            records.add(new KeyedRecord("trimmed", new byte[0], records.size()));
        }

        @Override
        public CompletableFuture<NewestPage> readNewest(String afterKey) {
            pageReads++;
            List<KeyedRecord> stuck = pageReads > 1_000 ? null : stuckPage;
            if (stuck != null) {
                return CompletableFuture.completedFuture(
                        new NewestPage(stuck, true, new LogPosition(0, records.size())));
            }
            return CompletableFuture.completedFuture(
                    new NewestPage(List.copyOf(newest.values()), false, new LogPosition(0, records.size())));
        }

        @Override
        public CompletableFuture<Records> read(LogPosition from, Duration wait) {
            if (readsThatThrow > 0) {
                readsThatThrow--;
                throw new IllegalStateException("a read that throws");
            }
            if (down) {
                return CompletableFuture.failedFuture(new IllegalStateException("down"));
            }
            if (from.offset() < firstOffset) {
                return CompletableFuture.failedFuture(new LogTrimmedException("log", from.offset(), firstOffset));
            }
            return CompletableFuture.completedFuture(new Records(
                    List.copyOf(records.subList((int) from.offset(), records.size())),
                    new LogPosition(0, records.size())));
        }
    }

    /** Holds the values, and fails at odd ones and at the deletion of odd keys. */
    private final class FailingListener implements KeyedLogListener {
        private boolean failsAtGraceEnd;

        @Override
        public void onPut(String key, byte[] value) {
            String text = new String(value, StandardCharsets.UTF_8);
            if (text.startsWith(ODD)) {
                fail(text);
            }
            state.put(key, text);
        }

        @Override
        public void onDelete(String key, boolean afterOutage) {
            state.remove(key);
            if (key.startsWith(ODD)) {
                fail(key);
            }
        }

        @Override
        public void onOutageGraceEnd() {
            if (failsAtGraceEnd) {
                fail("odd end of grace");
            }
        }
    }

    private static void fail(String text) {
        switch (text.length() % 3) {
            case 0 -> throw new IllegalStateException(text);
            case 1 -> throw new StackOverflowError(text);
            default -> throw new LinkageError(text);
        }
    }

    /** Counts the lines of the package under test. */
    private static final class CountedLines extends Handler implements AutoCloseable {
        private final Logger logger = Logger.getLogger("io.parsleycleat.gateway.version.follow");
        private final List<String> lines = new ArrayList<>();

        CountedLines() {
            logger.addHandler(this);
        }

        @Override
        public void publish(LogRecord record) {
            lines.add(record.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {
            logger.removeHandler(this);
        }
    }

    @BeforeMethod
    public void setUp() {
        setUp(new FailingListener());
    }

    private void setUp(KeyedLogListener listener) {
        time = new ManualTimeSource();
        scheduler = new ManualScheduler(time);
        log = new MemoryLog();
        state = new TreeMap<>();
        follower = new LogFollower("log", log, listener, FollowSettings.LOW_LATENCY, scheduler, time);
    }

    private void assertFollowing() {
        assertEquals(follower.offset(), log.records.size());
        assertTrue(follower.isReachable());
        assertTrue(follower.freshness().isYoungerThan(Duration.ofSeconds(1)));
    }

    /** Guards against an odd record that keeps the records around it in the same read from the listener. */
    @Test
    public void oddRecordChangesNothingForTheRecordsAroundItInTheSameRead() {
        follower.start();
        for (String odd : List.of("odd", "odd1", "odd22")) {
            log.add("a", odd + "before");
            log.add("x", odd);
            log.add("b", odd.replace(ODD, "sound"));
            scheduler.runFor(AFTER_READ);
            assertEquals(state.get("b"), odd.replace(ODD, "sound"));
            assertFollowing();
        }
    }

    /** Guards against deletions that a full read skips for good because one of its records is odd. */
    @Test
    public void oddRecordInAFullReadDoesNotHideDeletions() {
        log.add("a", "1");
        log.add("gone", "1");
        follower.start();
        log.add("gone", "");
        log.add("m", "odd");
        log.add("z", "1");
        log.trim();
        scheduler.runFor(AFTER_READ);
        assertEquals(state, Map.of("a", "1", "z", "1"));
        assertFollowing();
    }

    /** Guards against a deletion whose listener fails and that keeps later deletions from the listener. */
    @Test
    public void deletionWhoseListenerFailsDoesNotHideOthers() {
        List.of("a", "odd", "z").forEach(key -> log.add(key, "1"));
        follower.start();
        List.of("a", "odd", "z").forEach(key -> log.add(key, ""));
        scheduler.runFor(AFTER_READ);
        assertEquals(state, Map.of());
        assertFollowing();
    }

    /** Guards against a follower that stops when its listener fails at the end of the time after an outage. */
    @Test
    public void followingGoesOnWhenTheListenerFailsAtTheEndOfTheGrace() {
        FailingListener listener = new FailingListener();
        setUp(listener);
        listener.failsAtGraceEnd = true;
        follower.start();
        log.down = true;
        scheduler.runFor(Duration.ofSeconds(2));
        log.down = false;
        scheduler.runFor(Duration.ofSeconds(4));
        log.add("a", "1");
        scheduler.runFor(AFTER_READ);
        assertEquals(state, Map.of("a", "1"));
        assertFollowing();
    }

    /** Guards against a follower that stops when a read throws instead of failing later. */
    @Test
    public void followingGoesOnWhenAReadThrows() {
        follower.start();
        log.readsThatThrow = 2;
        scheduler.runFor(Duration.ofSeconds(1));
        log.add("a", "1");
        scheduler.runFor(AFTER_READ);
        assertEquals(state, Map.of("a", "1"));
        assertFollowing();
    }

    /** Guards against odd records that fill the log: each key is told once, and of many only the first. */
    @Test
    public void oddRecordsAreLoggedOnceForEachKeyAndBounded() {
        follower.start();
        try (CountedLines counted = new CountedLines()) {
            for (int i = 0; i < 5; i++) {
                log.add("x", "odd22");
                scheduler.runFor(AFTER_READ);
            }
            assertEquals(counted.lines.size(), 1, counted.lines.toString());
            log.add("x", "1");
            scheduler.runFor(AFTER_READ);
            log.add("x", "odd22");
            scheduler.runFor(AFTER_READ);
            assertEquals(counted.lines.size(), 2, counted.lines.toString());
            for (int round = 0; round < 3; round++) {
                IntStream.range(0, 2_000).forEach(i -> log.add("k" + i, "odd22"));
                scheduler.runFor(AFTER_READ);
            }
            assertTrue(counted.lines.size() <= 40, counted.lines.size() + " lines");
            assertFollowing();
        }
    }

    /** Guards against any mix of odd and sound records, deletions and full reads after which sound keys differ. */
    @Test
    public void soundKeysAgreeWithTheLogWhateverOddRecordsStandBetween() {
        Map<Integer, String> differences = new HashMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            setUp();
            playSchedule(new SplittableRandom(seed));
            Map<String, String> expected = new TreeMap<>();
            log.newest.values().forEach(r -> {
                String value = new String(r.value(), StandardCharsets.UTF_8);
                if (!value.startsWith(ODD)) {
                    expected.put(r.key(), value);
                }
            });
            state.keySet().removeIf(key -> log.newest.containsKey(key) && !expected.containsKey(key));
            if (!state.equals(expected) || follower.offset() != log.records.size() || !follower.isReachable()) {
                differences.put(seed, "the listener has " + state + ", the log " + expected);
            }
        }
        assertEquals(differences, Map.of());
    }

    private void playSchedule(SplittableRandom random) {
        follower.start();
        for (int step = 0; step < STEPS; step++) {
            int records = random.nextInt(1, 5);
            for (int i = 0; i < records; i++) {
                String key = (random.nextInt(4) == 0 ? "odd" : "k") + random.nextInt(5);
                String value = random.nextInt(3) == 0 ? ODD + "1".repeat(random.nextInt(3)) : "v" + step + "." + i;
                log.add(key, random.nextInt(5) == 0 ? "" : value);
            }
            if (random.nextInt(8) == 0) {
                log.trim();
            }
            scheduler.runFor(Duration.ofMillis(random.nextInt(400)));
        }
        scheduler.runFor(Duration.ofSeconds(2));
    }

    /** Guards against a page that says that more follows but leads no further: its read never ends, or deletes keys. */
    @Test
    public void pageThatLeadsNoFurtherFailsTheReadAndDeletesNothing() {
        log.add("a", "1");
        log.add("b", "1");
        follower.start();
        log.trim();
        for (List<KeyedRecord> stuck :
                List.of(List.<KeyedRecord>of(), List.copyOf(log.newest.values()).subList(0, 1))) {
            log.stuckPage = stuck;
            log.pageReads = 0;
            scheduler.runFor(Duration.ofSeconds(2));
            assertTrue(log.pageReads < 30, log.pageReads + " pages read");
            assertFalse(follower.isFullyRead());
            assertEquals(state, Map.of("a", "1", "b", "1"));
        }
        log.stuckPage = null;
        scheduler.runFor(Duration.ofSeconds(1));
        assertFollowing();
    }
}
