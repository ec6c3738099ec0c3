package io.parsleycleat.gateway.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

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
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LogFollowerTest {
    private ManualTimeSource time;
    private ManualScheduler scheduler;
    private MemoryLog log;
    private List<String> seen;
    private LogFollower follower;

    /** A keyed log in memory whose reads never wait. */
    private static final class MemoryLog implements KeyedLog {
        private final List<KeyedRecord> records = new ArrayList<>();
        private long firstOffset;
        private long era;
        private boolean down;
        private boolean silent;
        /** How long the answer of a read takes; its state is that of the moment at which the read was sent. */
        private Duration answerTime = Duration.ZERO;

        private final ManualScheduler scheduler;

        MemoryLog(ManualScheduler scheduler) {
            this.scheduler = scheduler;
        }

        void add(String key, String value) {
            records.add(new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8), records.size()));
        }

        /** Restores the log from a copy with the given number of records, and starts a later era. */
        void restore(int copied) {
            records.subList(copied, records.size()).clear();
            era++;
        }

        @Override
        public CompletableFuture<NewestPage> readNewest(String afterKey) {
            if (down) {
                return unavailable();
            }
            List<KeyedRecord> newest = records.stream()
                    .filter(r -> !r.isTombstone()
                            && records.stream()
                                    .noneMatch(o ->
                                            o.offset() > r.offset() && o.key().equals(r.key())))
                    .toList();
            return CompletableFuture.completedFuture(
                    new NewestPage(newest, false, new LogPosition(era, records.size())));
        }

        @Override
        public CompletableFuture<Records> read(LogPosition from, Duration wait) {
            if (down) {
                return unavailable();
            }
            if (silent) {
                return new CompletableFuture<>();
            }
            if (from.offset() < firstOffset || from.offset() > records.size()) {
                return CompletableFuture.failedFuture(new LogTrimmedException("log", from.offset(), firstOffset));
            }
            List<KeyedRecord> found =
                    records.stream().filter(r -> r.offset() >= from.offset()).toList();
            Records answer = new Records(found, new LogPosition(era, records.size()));
            if (answerTime.isZero()) {
                return CompletableFuture.completedFuture(answer);
            }
            CompletableFuture<Records> late = new CompletableFuture<>();
            scheduler.schedule(() -> late.complete(answer), answerTime.toMillis(), TimeUnit.MILLISECONDS);
            return late;
        }

        private static <T> CompletableFuture<T> unavailable() {
            return CompletableFuture.failedFuture(
                    new PlatformException(ResultCode.LOG_OUT, "down", Location.of("log")));
        }
    }

    private final class Recorder implements KeyedLogListener {
        @Override
        public void onPut(String key, byte[] value) {
            seen.add(key + "=" + new String(value, StandardCharsets.UTF_8));
        }

        @Override
        public void onDelete(String key, boolean afterOutage) {
            seen.add("-" + key + (afterOutage ? " after outage" : ""));
        }

        @Override
        public void onOutageGraceEnd() {
            seen.add("end of grace");
        }
    }

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        scheduler = new ManualScheduler(time);
        log = new MemoryLog(scheduler);
        seen = new ArrayList<>();
        follower = new LogFollower("log", log, new Recorder(), FollowSettings.LOW_LATENCY, scheduler, time);
    }

    @Test
    public void wholeLogIsReadOnceThenOnlyNewRecords() {
        log.add("a", "1");
        follower.start();
        assertTrue(follower.isFullyRead());
        log.add("a", "2");
        log.add("b", "1");
        scheduler.runFor(Duration.ofMillis(300));
        assertEquals(seen, List.of("a=1", "a=2", "b=1"));
    }

    /** Guards against a lost answer alone that delays a change beyond the shortest bound of the users, 2 s. */
    @Test
    public void lostAnswerDelaysAChangeByLessThanTheShortestBound() {
        Duration bound = Duration.ofSeconds(2);
        assertTrue(FollowSettings.LOW_LATENCY
                        .maxDelayAfterLostAnswer()
                        .compareTo(bound.multipliedBy(4).dividedBy(5))
                < 0);
    }

    /** Guards against a time limit by another clock than the given one, which also acts on a thread of its own. */
    @Test
    public void readWithoutAnswerIsGivenUpByTheGivenClock() {
        follower.start();
        log.silent = true;
        scheduler.runFor(Duration.ofMillis(300));
        log.silent = false;
        log.add("a", "1");
        scheduler.runFor(Duration.ofMillis(2_500));
        assertEquals(seen, List.of("a=1"));
    }

    @Test
    public void trimmedLogIsReadAgainAndMissingKeysAreDeleted() {
        log.add("a", "1");
        log.add("b", "1");
        follower.start();
        log.add("a", "2");
        log.add("b", "");
        log.firstOffset = 4;
        scheduler.runFor(Duration.ofMillis(300));
        assertEquals(seen, List.of("a=1", "b=1", "a=2", "-b"));
    }

    @Test
    public void freshnessIsNotConfirmedWhileTheStoreIsUnavailable() {
        follower.start();
        log.down = true;
        scheduler.runFor(Duration.ofSeconds(3));
        assertFalse(follower.freshness().isYoungerThan(Duration.ofSeconds(2)));
        log.down = false;
        scheduler.runFor(Duration.ofMillis(400));
        assertTrue(follower.freshness().isYoungerThan(Duration.ofSeconds(1)));
    }

    @Test
    public void keysDeletedRightAfterAnOutageMayBeWrittenAgainWithinTheGraceTime() {
        log.add("a", "1");
        log.add("b", "1");
        follower.start();
        log.down = true;
        scheduler.runFor(Duration.ofSeconds(2));
        log.add("a", "");
        log.add("b", "");
        log.down = false;
        scheduler.runFor(Duration.ofMillis(400));
        assertEquals(seen.subList(2, 4), List.of("-a after outage", "-b after outage"));
        log.add("a", "2");
        scheduler.runFor(Duration.ofSeconds(3));
        assertEquals(seen.subList(4, 6), List.of("a=2", "end of grace"));
        log.add("a", "");
        scheduler.runFor(Duration.ofMillis(300));
        assertEquals(seen.get(6), "-a");
    }

    @Test
    public void restoredLogIsReadAgainEvenWhenItsOffsetsWereReused() {
        log.add("a", "1");
        log.add("b", "1");
        follower.start();
        log.restore(1);
        log.add("c", "1");
        log.add("b", "2");
        scheduler.runFor(Duration.ofMillis(300));
        assertEquals(seen, List.of("a=1", "b=1", "a=1", "c=1", "b=2"));
        assertEquals(follower.era(), 1);
    }

    @Test
    public void recordsLostInARestoreMayBeWrittenAgainWithinTheGraceTime() {
        log.add("a", "1");
        log.add("b", "1");
        follower.start();
        log.restore(1);
        scheduler.runFor(Duration.ofMillis(300));
        assertEquals(seen, List.of("a=1", "b=1", "a=1", "-b after outage"));
        log.add("b", "1");
        scheduler.runFor(Duration.ofSeconds(3));
        assertEquals(seen.subList(4, 6), List.of("b=1", "end of grace"));
    }

    @Test
    public void deletedKeyStaysDeletedUntilItIsWrittenInTheNewEra() {
        log.add("a", "1");
        follower.start();
        log.add("a", "");
        scheduler.runFor(Duration.ofMillis(300));
        log.restore(1);
        scheduler.runFor(Duration.ofSeconds(3));
        assertEquals(seen, List.of("a=1", "-a", "end of grace"));
        log.add("a", "2");
        scheduler.runFor(Duration.ofMillis(300));
        assertEquals(seen.get(3), "a=2");
    }

    @Test
    public void stateKeepsAgeingUntilLostRecordsCouldBeWrittenAgain() {
        log.add("a", "1");
        log.add("b", "1");
        follower.start();
        log.restore(1);
        scheduler.runFor(Duration.ofMillis(2_000));
        assertTrue(
                follower.freshness().age().toMillis() >= 1_900,
                follower.freshness().age() + " old");
        scheduler.runFor(Duration.ofMillis(1_000));
        assertTrue(follower.freshness().isYoungerThan(Duration.ofMillis(500)));
    }

    /** Guards against a withdrawn key that is valid again, since a slow read missed what was written meanwhile. */
    @Test
    public void readAskedForWithinTheGraceConfirmsNothing() {
        log.add("a", "1");
        follower.start();
        log.add("a", "2");
        scheduler.runFor(Duration.ofMillis(300));
        log.restore(1);
        scheduler.runFor(Duration.ofMillis(1_900));
        log.answerTime = Duration.ofMillis(800);
        scheduler.runFor(Duration.ofMillis(150));
        log.add("a", "2");
        scheduler.runFor(Duration.ofMillis(850));
        assertFalse(seen.contains("end of grace"), seen.toString());
        assertTrue(
                follower.freshness().age().toMillis() >= 2_800,
                follower.freshness().age() + " old");
        log.answerTime = Duration.ZERO;
        scheduler.runFor(Duration.ofMillis(1_500));
        assertEquals(seen.subList(seen.size() - 2, seen.size()), List.of("a=2", "end of grace"));
        assertTrue(follower.freshness().isYoungerThan(Duration.ofMillis(500)));
    }

    @Test
    public void answerOfAnEarlierEraIsIgnored() {
        log.add("a", "1");
        follower.start();
        log.restore(1);
        scheduler.runFor(Duration.ofSeconds(3));
        log.era--;
        log.add("a", "old");
        scheduler.runFor(Duration.ofSeconds(1));
        log.era++;
        assertFalse(seen.contains("a=old"), seen.toString());
    }

    @Test
    public void answerRequestedBeforeTheStopIsIgnored() {
        follower.start();
        follower.stop();
        log.add("a", "1");
        scheduler.runFor(Duration.ofSeconds(2));
        assertEquals(seen, List.of());
    }
}
