package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards the rules by which requests are admitted, retried, resumed and answered. */
public class ForwardingTest extends ForwardingFixture {
    @Test
    public void anAnswerComesBackWhole() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        try (ScriptedUpstream one = new ScriptedUpstream(says(whole("done"), true))) {
            upstream("a", one.address());
            assertEquals(answer(), "200 done");
        }
    }

    @Test
    public void aRequestThatMayHaveRunOnceIsNotSentAgain() throws Exception {
        configure(RequestKind.ONCE, false, 2, Duration.ofSeconds(20));
        try (ScriptedUpstream one = new ScriptedUpstream(says("", false));
                ScriptedUpstream two = new ScriptedUpstream(says("", false))) {
            upstream("a", one.address());
            upstream("b", two.address());
            assertEquals(answer(), "502 " + ResultCode.UPSTREAM_LOST);
            assertEquals(one.untakenRequestCount() + two.untakenRequestCount(), 1);
        }
    }

    @Test
    public void aRequestThatCannotHaveLeftIsSentElsewhere() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        try (ScriptedUpstream two = new ScriptedUpstream(says(whole("done"), true))) {
            upstream("a", refusing());
            upstream("b", two.address());
            assertEquals(answer(), "200 done");
        }
    }

    @Test
    public void aRefusalOfTheUpstreamAllowsAnother() throws Exception {
        configure(RequestKind.ONCE, false, 2, Duration.ofSeconds(20));
        try (ScriptedUpstream one = new ScriptedUpstream(says(NOT_RUN, true));
                ScriptedUpstream two = new ScriptedUpstream(says(whole("done"), true))) {
            upstream("a", one.address());
            upstream("b", two.address());
            assertEquals(answer(), "200 done");
        }
    }

    @Test
    public void oneUpstreamIsTheLimitWhereTheRouteSaysSo() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        try (ScriptedUpstream one = new ScriptedUpstream(says(NOT_RUN, true));
                ScriptedUpstream two = new ScriptedUpstream(says(NOT_RUN, true))) {
            upstream("a", one.address());
            upstream("b", two.address());
            assertEquals(answer(), "503 " + ResultCode.UPSTREAM_REFUSED);
            assertEquals(one.untakenRequestCount() + two.untakenRequestCount(), 1);
        }
    }

    @Test
    public void aStatusThatPromisesNotToHaveRunIsNotPassedOnWithoutThatStatement() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        try (ScriptedUpstream one =
                new ScriptedUpstream(says("HTTP/1.1 503 x\r\nid: 1\r\nContent-Length: 0\r\n\r\n", true))) {
            upstream("a", one.address());
            assertEquals(answer(), "502 " + ResultCode.ANSWER_INCOMPLETE);
        }
    }

    @Test
    public void theAnswerToAnotherRequestIsNotPassedOn() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        try (ScriptedUpstream one = new ScriptedUpstream(says(whole("done").replace("id: 1", "id: 2"), true))) {
            upstream("a", one.address());
            assertEquals(answer(), "502 " + ResultCode.UPSTREAM_LOST);
        }
    }

    @Test
    public void aBrokenStreamThatMayBeResumedGoesOnBehindItsLastWholeEvent() throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        String start = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        ScriptedUpstream.Script script = (request, connection) -> {
            if (request.contains("after: 2")) {
                ScriptedUpstream.write(connection, start + "c\r\nid: 3\nc: c\n\n\r\n0\r\n\r\n");
                return true;
            }
            ScriptedUpstream.write(connection, start + "1a\r\nid: 1\na: a\n\nid: 2\nb: b\n\nid\r\n");
            return false;
        };
        try (ScriptedUpstream one = new ScriptedUpstream(script);
                ScriptedUpstream two = new ScriptedUpstream(script)) {
            upstream("a", one.address());
            upstream("b", two.address());
            assertEquals(answer(), "200 streamed id: 1;a: a;;id: 2;b: b;;id: 3;c: c;;");
        }
    }

    @Test
    public void aBrokenStreamThatMayNotBeResumedIsCut() throws Exception {
        configure(RequestKind.STREAM, false, 2, Duration.ofSeconds(20));
        String bytes = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        try (ScriptedUpstream one = new ScriptedUpstream(says(bytes, false))) {
            upstream("a", one.address());
            assertEquals(answer(), "cut after half");
        }
    }

    @Test
    public void theRoutesTimeoutEndsAWaitWithoutAPromise() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofMillis(300));
        CountDownLatch end = new CountDownLatch(1);
        try (ScriptedUpstream one = new ScriptedUpstream((r, c) -> {
            try {
                end.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return false;
        })) {
            upstream("a", one.address());
            assertEquals(answer(), "504 " + ResultCode.DEADLINE_PASSED);
            end.countDown();
        }
    }

    @Test
    public void aCallerThatLeavesEndsTheWorkAtTheUpstream() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedUpstream one = new ScriptedUpstream((r, c) -> {
            if (c.getInputStream().read() < 0) {
                closed.countDown();
            }
            return false;
        })) {
            upstream("a", one.address());
            Caller caller = ask("/p/x", "key");
            one.takeRequest();
            caller.gone.join().run();
            closed.await();
            assertFalse(caller.answer.isDone());
        }
    }

    @Test
    public void withoutConfigurationNothingIsDenied() {
        assertEquals(answer(), "503 " + ResultCode.NOT_READY);
    }

    @Test
    public void unknownRoutesAndKeysAreDeniedByFreshKnowledgeOnly() {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        assertEquals(ask("/other/x", "key").answer.join(), "404 " + ResultCode.ROUTE_UNKNOWN);
        assertEquals(ask("/p/x", "other").answer.join(), "401 " + ResultCode.KEY_UNKNOWN);
        assertEquals(ask("/p/x", null).answer.join(), "401 " + ResultCode.KEY_MISSING);
        wallForKnowledge.advanceMillis(2_500);
        assertEquals(ask("/other/x", "key").answer.join(), "503 " + ResultCode.CUT_OFF);
        assertEquals(ask("/p/x", "other").answer.join(), "503 " + ResultCode.CUT_OFF);
    }

    @Test
    public void noKeyIsAcceptedWhereItsWithdrawalCouldBeUnknown() {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        wallForKnowledge.advanceMillis(4_100);
        assertEquals(answer(), "503 " + ResultCode.CUT_OFF);
    }

    @Test
    public void aSuspensionOfTheVmCountsAgainstKeys() {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        wallForKnowledge.shiftWallMillis(7_000);
        assertEquals(answer(), "503 " + ResultCode.CUT_OFF);
    }

    @Test
    public void aRequestThatCrashedTwoUpstreamsIsNotSentToAThird() throws Exception {
        configure(RequestKind.IDEMPOTENT, false, 2, Duration.ofSeconds(20));
        for (int crash = 1; crash <= 2; crash++) {
            String id = "crash-" + crash;
            try (ScriptedUpstream one = new ScriptedUpstream(says("", false))) {
                upstream(id, one.address());
                assertEquals(answer(), "502 " + ResultCode.UPSTREAM_LOST);
            }
            CompletableFuture<Void> seen = new CompletableFuture<>();
            loop.execute(() -> {
                directory.remove(id);
                seen.complete(null);
            });
            seen.join();
            watch.onUpstreamDown(new Upstream(
                    id,
                    "s",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                    "here",
                    1,
                    false,
                    8,
                    Map.of()));
        }
        assertEquals(answer(), "503 " + ResultCode.SUSPECT_REFUSED);
        assertTrue(directory.all().isEmpty());
    }

    @DataProvider
    public Object[][] beginnings() {
        String head = "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 30\r\n\r\n";
        return new Object[][] {{"nothing", ""}, {"a head", head}, {"an event", head + "id: 1\ndata: a\n\n"}};
    }

    /** The upstream stops sending without closing its connection, so that only its silence reveals the failure. */
    @Test(dataProvider = "beginnings")
    public void aStreamWhoseUpstreamFallsSilentGoesOnElsewhere(String what, String beginning) throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        String rest = beginning.contains("data") ? "" : "id: 1\ndata: a\n\n";
        try (ScriptedUpstream one = new ScriptedUpstream((request, connection) -> {
                    ScriptedUpstream.write(connection, beginning);
                    return connection.getInputStream().read() >= 0;
                });
                ScriptedUpstream two = new ScriptedUpstream(says(whole(rest + "id: 2\ndata: b\n\n"), true))) {
            upstream("a", one.address());
            Caller caller = ask("/p/x", "key");
            one.takeRequest();
            upstream("b", two.address());
            assertEquals(caller.answer.join(), "200 streamed id: 1;data: a;;id: 2;data: b;;", what);
        }
    }

    @Test
    public void aReadThatIsNotAnsweredForLongIsSentElsewhere() throws Exception {
        configure(RequestKind.IDEMPOTENT, false, 2, Duration.ofSeconds(20), Duration.ofMillis(200));
        try (ScriptedUpstream one = new ScriptedUpstream(
                        (request, connection) -> connection.getInputStream().read() >= 0);
                ScriptedUpstream two = new ScriptedUpstream(says(whole("done"), true))) {
            upstream("a", one.address());
            Caller caller = ask("/p/x", "key");
            one.takeRequest();
            upstream("b", two.address());
            assertEquals(caller.answer.join(), "200 done");
        }
    }
}
