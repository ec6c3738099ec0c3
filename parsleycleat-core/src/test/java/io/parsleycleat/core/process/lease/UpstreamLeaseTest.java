package io.parsleycleat.core.process.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.request.outcome.FakeLog;
import io.parsleycleat.core.request.outcome.FakeLog.Mode;
import io.parsleycleat.core.request.outcome.ManualTime;
import io.parsleycleat.wire.escrow.SideStart;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class UpstreamLeaseTest {
    private static final LeaseSettings SETTINGS = LeaseSettings.DEFAULTS;
    private static final Duration HAND_OVER = SETTINGS.duration().plus(SETTINGS.margin());

    private ManualTime time;
    private FakeLog log;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        log = new FakeLog(time);
    }

    private UpstreamLease lease(ManualTime clock, String vm, boolean checksFencing) {
        SideStart start = SideStart.newBuilder()
                .setUpstreamId("e1")
                .setVmName(vm)
                .setIncarnation(1)
                .build();
        return new UpstreamLease(log, clock, clock, start, checksFencing, SETTINGS);
    }

    @Test
    public void theFirstSideHoldsAtOnceAndRenewsWithoutAppending() {
        UpstreamLease side = lease(time, "a", false);
        assertEquals(side.acquire().join(), Long.valueOf(1));
        time.advance(Duration.ofHours(1));
        assertTrue(side.isHeld());
        assertEquals(log.appendCalls(), 1);
    }

    @Test
    public void aNewerSideWaitsUntilTheEarlierClaimHasLapsed() {
        ManualTime paused = new ManualTime();
        UpstreamLease old = lease(paused, "a", false);
        old.acquire().join();
        UpstreamLease successor = lease(time, "b", false);
        CompletableFuture<Long> acquired = successor.acquire();
        for (Duration at = Duration.ZERO; at.compareTo(HAND_OVER) < 0; at = at.plusMillis(500)) {
            assertFalse(old.isHeld() && successor.isHeld(), "both hold at " + at);
            assertFalse(acquired.isDone());
            time.advance(Duration.ofMillis(500));
            paused.pause(Duration.ofMillis(500));
        }
        assertEquals(acquired.join(), Long.valueOf(2));
        assertTrue(successor.isHeld());
        assertFalse(old.isHeld());
    }

    @Test
    public void beforeAnUpstreamThatChecksTheNewerSideNeedNotWait() {
        lease(time, "a", true).acquire().join();
        assertEquals(lease(time, "b", true).acquire().join(), Long.valueOf(2));
    }

    @Test
    public void aSideThatLearnsOfANewerOneStops() {
        UpstreamLease old = lease(time, "a", true);
        old.acquire().join();
        List<String> events = new ArrayList<>();
        old.onSuperseded(() -> events.add("stopped"));
        lease(time, "b", true).acquire().join();
        time.advance(SETTINGS.renewal());
        assertFalse(old.isHeld());
        assertEquals(events, List.of("stopped"));
        UpstreamLease told = lease(time, "c", true);
        told.acquire().join();
        told.onPeerKnows(4, Duration.ZERO);
        assertTrue(told.isSuperseded());
    }

    @Test
    public void whileTheLogIsOutPeersKeepTheClaim() {
        UpstreamLease side = lease(time, "a", false);
        side.acquire().join();
        log.setReads(Mode.REFUSES);
        time.advance(SETTINGS.duration().minusMillis(1));
        side.onPeerKnows(1, Duration.ofSeconds(2));
        time.advance(Duration.ofSeconds(12));
        assertTrue(side.isHeld());
        time.advance(Duration.ofSeconds(1));
        assertFalse(side.isHeld());
        log.setReads(Mode.WORKS);
        time.advance(Duration.ofSeconds(1));
        assertTrue(side.isHeld());
    }

    @Test
    public void aStartWhoseAnswerWasLostCountsOnceWhereItStandsFirst() {
        log.setAppends(Mode.ANSWER_LOST);
        UpstreamLease side = lease(time, "a", true);
        assertEquals(side.acquire().join(), Long.valueOf(1));
        log.setAppends(Mode.HELD_BACK);
        UpstreamLease late = lease(time, "b", true);
        CompletableFuture<Long> acquired = late.acquire();
        assertFalse(acquired.isDone());
        log.setAppends(Mode.WORKS);
        time.advance(Duration.ofSeconds(1));
        assertEquals(acquired.join(), Long.valueOf(2));
        UpstreamLease newest = lease(time, "c", true);
        assertEquals(newest.acquire().join(), Long.valueOf(3));
        log.release();
        time.advance(SETTINGS.renewal());
        assertTrue(newest.isHeld());
        assertTrue(late.isSuperseded());
    }

    @Test
    public void aTrimmedStreamMayHideAnEarlierSide() {
        lease(time, "a", false).acquire().join();
        log.trim(UpstreamLease.STREAM, 1);
        CompletableFuture<Long> acquired = lease(time, "b", false).acquire();
        assertFalse(acquired.isDone());
        time.advance(HAND_OVER);
        assertTrue(acquired.isDone());
    }
}
