package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.gateway.ManualScheduler;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.request.permits.PermitHomes;
import io.parsleycleat.gateway.request.permits.PermitQuery;
import io.parsleycleat.gateway.request.permits.PermitReply;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PermitHomesTest {
    private static final UpstreamStart UPSTREAM = new UpstreamStart("u", 1);
    private static final RequestLimit ONE = new RequestLimit(1);

    private ManualTimeSource time;
    private ManualScheduler scheduler;
    private PermitHomes homes;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        scheduler = new ManualScheduler(time);
        homes = new PermitHomes("self", time, () -> true, scheduler);
        homes.setOtherEntries(Set.of());
    }

    private PermitReply request(Duration knownFor) {
        List<PermitReply> replies = new ArrayList<>();
        homes.request(new PermitQuery(UPSTREAM, ONE, knownFor, 1, Duration.ZERO), replies::add);
        return replies.get(0);
    }

    private long limitAndEnd() {
        homes.onReport(UPSTREAM, 0, ONE);
        time.advanceMillis(2_000);
        long permit = request(Duration.ZERO).permit();
        homes.onReport(UPSTREAM, permit, null);
        return permit;
    }

    @Test
    public void endedLimitIsNotBroughtBackByOlderKnowledge() {
        limitAndEnd();
        time.advanceMillis(100);
        assertEquals(request(Duration.ofMillis(500)).result(), PermitReply.Result.UNLIMITED);
    }

    /** Guards against an answer without a limit that is reported late and ends a limit which was named after it. */
    @Test
    public void lateReportOfNoLimitDoesNotMakeNewerKnowledgeOld() {
        long permit = limitAndEnd();
        time.advanceMillis(1_000);
        homes.onReport(UPSTREAM, permit, null);
        time.advanceMillis(100);
        assertEquals(request(Duration.ofMillis(500)).result(), PermitReply.Result.REFUSED);
    }

    /** Guards against a deputy that grants a share of a limit which has fallen since it last granted any. */
    @Test
    public void newerKnowledgeLowersALimitButOlderDoesNot() {
        homes.onReport(UPSTREAM, 0, new RequestLimit(10));
        time.advanceMillis(5_000);
        request(Duration.ofSeconds(6));
        assertEquals(homes.limit(UPSTREAM).orElseThrow(), new RequestLimit(10));
        request(Duration.ofSeconds(1));
        assertEquals(homes.limit(UPSTREAM).orElseThrow(), ONE);
    }

    /** Guards against a less urgent request that keeps a turn which a more urgent one could use. */
    @Test
    public void moreUrgentRequestTakesTheTurnAndTheOtherIsRefusedAtOnce() {
        homes.onReport(UPSTREAM, 0, ONE);
        List<String> replies = new ArrayList<>();
        Duration wait = Duration.ofMillis(1_500);
        homes.request(new PermitQuery(UPSTREAM, ONE, wait, 2, wait), r -> replies.add("free " + r.result()));
        homes.request(new PermitQuery(UPSTREAM, ONE, wait, 0, wait), r -> replies.add("paying " + r.result()));
        assertEquals(replies, List.of("free REFUSED"));
        scheduler.runFor(Duration.ofMillis(1_100));
        assertEquals(replies, List.of("free REFUSED", "paying GRANTED"));
    }
}
