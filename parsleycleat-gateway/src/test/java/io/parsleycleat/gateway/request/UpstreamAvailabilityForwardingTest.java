package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Guards against requests to upstreams that announced their shutdown or asked for a pause. */
public class UpstreamAvailabilityForwardingTest extends ForwardingFixture {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String LAST_ANSWER = okAnswer("last").replace("id: 1", "id: 1\r\nleaving: 1");

    @Test
    public void leavingUpstreamGetsNoMoreRequestsOnKeptConnection() throws Exception {
        configure(RequestKind.ONCE, false, 1, TIMEOUT);
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(LAST_ANSWER, true))) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), "200 last");
            assertEquals(sendAndAwaitAnswer(), "503 " + ResultCode.NO_UPSTREAM);
            assertEquals(one.untakenRequestCount(), 1);
        }
    }

    @Test
    public void leavingUpstreamIsNotUsedAfterItsDescriptionIsRemovedAndRestored() throws Exception {
        configure(RequestKind.ONCE, false, 1, TIMEOUT);
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(LAST_ANSWER, true))) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), "200 last");
            directory.remove("a");
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), "503 " + ResultCode.NO_UPSTREAM);
            addUpstream("b", one.address());
            assertEquals(sendAndAwaitAnswer(), "200 last");
        }
    }

    @Test
    public void leavingHeaderOfErrorAnswerIsHonoured() throws Exception {
        configure(RequestKind.IDEMPOTENT, false, 2, TIMEOUT);
        String failure = "HTTP/1.1 500 x\r\nid: 1\r\nleaving: 1\r\nContent-Length: 0\r\n\r\n";
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(failure, true));
                ScriptedUpstream two = new ScriptedUpstream(respondWith(okAnswer("done"), true))) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), "500 ");
            addUpstream("b", two.address());
            assertEquals(sendAndAwaitAnswer(), "200 done");
            assertEquals(one.untakenRequestCount(), 1);
        }
    }

    /** One upstream cuts the stream; of the two others, one has announced its shutdown and must not be used. */
    @Test
    public void streamIsNotResumedAtLeavingUpstream() throws Exception {
        configure(RequestKind.STREAM, true, 3, TIMEOUT);
        CountDownLatch cut = new CountDownLatch(1);
        String beginning = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
        try (ScriptedUpstream one = new ScriptedUpstream((request, connection) -> {
                    ScriptedUpstream.write(connection, beginning);
                    awaitUninterruptibly(cut);
                    return false;
                });
                ScriptedUpstream two = new ScriptedUpstream(respondWith(LAST_ANSWER, true));
                ScriptedUpstream three = new ScriptedUpstream(respondWith(okAnswer("id: 2\ndata: b\n\n"), true))) {
            addUpstream("a", one.address());
            RecordingCaller caller = send("/p/x", "key");
            one.takeRequest();
            addUpstream("b", two.address());
            send("/p/x", "key").answer.join();
            addUpstream("c", three.address());
            cut.countDown();
            assertEquals(caller.answer.join(), "200 streamed id: 1;data: a;;id: 2;data: b;;");
            assertEquals(two.untakenRequestCount(), 1);
        }
    }

    @Test
    public void upstreamGetsNoRequestsDuringRequestedPause() throws Exception {
        configure(RequestKind.ONCE, false, 2, TIMEOUT);
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(PAUSE_ANSWER, true));
                ScriptedUpstream two = new ScriptedUpstream(respondWith(okAnswer("done"), true))) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), "503 " + ResultCode.UPSTREAM_REFUSED);
            assertEquals(sendAndAwaitAnswer(), "503 " + ResultCode.NO_UPSTREAM);
            addUpstream("b", two.address());
            assertEquals(sendAndAwaitAnswer(), "200 done");
            assertEquals(one.untakenRequestCount(), 1);
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
