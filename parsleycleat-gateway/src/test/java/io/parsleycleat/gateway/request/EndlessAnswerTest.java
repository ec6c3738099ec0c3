package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against faulty upstreams whose bytes are no valid answer or never end one, which could exhaust memory. */
public class EndlessAnswerTest extends ForwardingFixture {
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final CallerRequest GET =
            new CallerRequest("GET", "/p/x", List.of(Map.entry("key", "key")), ByteString.EMPTY);

    /** Sends bytes, once the test is ready, until the connection is closed; then reports how many were sent. */
    private static ScriptedUpstream.Script respondEndlessly(
            String start, String repeated, CompletableFuture<String> ready, CompletableFuture<Long> whenClosed) {
        return (request, connection) -> {
            ready.join();
            long sent = 0;
            try {
                ScriptedUpstream.write(connection, start);
                while (true) {
                    ScriptedUpstream.write(connection, repeated);
                    sent += repeated.length();
                }
            } catch (IOException expected) {
                whenClosed.complete(sent);
                return false;
            }
        };
    }

    @DataProvider
    public Object[][] bytesWithoutEnd() {
        String chunk = "2710\r\n" + "x".repeat(10_000) + "\r\n";
        return new Object[][] {
            {"a head", "HTTP/1.1 200 OK\r\nid: 1\r\n", "more: bytes\r\n"},
            {"a line", "", "no answer "},
            {"a chunk's size", CHUNKED_HEAD, "0"},
            {"an event", CHUNKED_HEAD, chunk},
            {"an event in chunks of one byte", CHUNKED_HEAD, "1\r\nx\r\n".repeat(2_000)},
            {"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n".repeat(100)},
            {"a body without length", "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n", "y".repeat(10_000)},
        };
    }

    /** The upstream sends until the gateway closes the connection; another upstream serves the caller. */
    @Test(dataProvider = "bytesWithoutEnd")
    public void endlessAnswerClosesItsConnectionAndStreamContinuesElsewhere(String what, String start, String repeated)
            throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        CompletableFuture<Long> closed = new CompletableFuture<>();
        CompletableFuture<String> ready = new CompletableFuture<>();
        String events = "id: 1\ndata: a\n\n";
        try (ScriptedUpstream one = new ScriptedUpstream(respondEndlessly(start, repeated, ready, closed));
                ScriptedUpstream two = new ScriptedUpstream(respondWith(okAnswer(events), true))) {
            addUpstream("a", one.address());
            RecordingCaller caller = send("/p/x", "key");
            one.takeRequest();
            addUpstream("b", two.address());
            ready.complete("the other upstream is known");
            assertEquals(caller.answer.join(), "200 streamed id: 1;data: a;;", what);
            assertEquals(heldAnswerBytes(), 0, what);
            assertTrue(closed.join() < 32_000_000, what + ": " + closed.join() + " bytes were accepted");
        }
    }

    /** Waits until the event loop has done what it was given, and returns how much memory of answers is held then. */
    private long heldAnswerBytes() {
        loop.submit(() -> {}).syncUninterruptibly();
        return entry.answerMemory.takenBytes();
    }

    /** A caller that tells when the first part of its answer comes. */
    private static final class EarlyCaller extends RecordingCaller {
        private final CountDownLatch started;

        private EarlyCaller(CountDownLatch started) {
            this.started = started;
        }

        @Override
        public void start(int status, List<Map.Entry<String, String>> headers) {
            super.start(status, headers);
            started.countDown();
        }
    }

    /** Guards against many answers, each within its own limit, that fill the heap together. */
    @Test
    public void answersBeyondTheMemoryAreStreamedAndGiveItBack() throws Exception {
        configure(RequestKind.IDEMPOTENT, false, 1, Duration.ofSeconds(60));
        String body = "x".repeat(900_000);
        CountDownLatch streamed = new CountDownLatch(1);
        try (ScriptedUpstream one = new ScriptedUpstream((request, connection) -> {
            ScriptedUpstream.write(connection, "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 900001\r\n\r\n" + body);
            boolean begun = Uninterruptibles.awaitUninterruptibly(streamed, 30, TimeUnit.SECONDS);
            ScriptedUpstream.write(connection, begun ? "y" : "n");
            return false;
        })) {
            addUpstream("a", one.address());
            List<EarlyCaller> callers =
                    Stream.generate(() -> new EarlyCaller(streamed)).limit(40).toList();
            callers.forEach(caller -> forwarder.handle(GET, caller));
            List<String> answers = callers.stream().map(c -> c.answer.join()).toList();
            assertTrue(answers.stream().allMatch(a -> a.startsWith("200 ") && a.endsWith(body + "y")));
            assertEquals(heldAnswerBytes(), 0);
        }
    }

    /** A caller that reads nothing until it is told to. */
    private static final class SlowCaller extends RecordingCaller {
        private final Queue<Runnable> unread = new ConcurrentLinkedQueue<>();

        @Override
        public void write(ByteString part, Runnable written) {
            super.write(part, () -> unread.add(written));
        }
    }

    /** Guards against whole answers that slow callers leave in the heap and that nothing counts. */
    @Test
    public void answersHoldTheirMemoryUntilTheCallerHasReadThem() throws Exception {
        configure(RequestKind.IDEMPOTENT, false, 1, Duration.ofSeconds(20));
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(okAnswer("x".repeat(500_000)), false))) {
            addUpstream("a", one.address());
            SlowCaller caller = new SlowCaller();
            forwarder.handle(GET, caller);
            assertEquals(caller.answer.join(), "200 streamed " + "x".repeat(500_000));
            assertTrue(heldAnswerBytes() >= 500_000, heldAnswerBytes() + " bytes are held");
            caller.unread.forEach(Runnable::run);
            assertEquals(heldAnswerBytes(), 0);
        }
    }

    /** Guards against a refusal that says "not run" in the name of an upstream that may have run the request. */
    @Test
    public void largeAnswerThatClaimsNotRunIsNotStreamed() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        String answer = "HTTP/1.1 503 Busy\r\nid: 1\r\n\r\n" + "z".repeat(2_000_000);
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(answer, false))) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), "502 " + ResultCode.UPSTREAM_LOST);
            assertEquals(heldAnswerBytes(), 0);
        }
    }

    @Test
    public void notRunAnswerWithEndlessBodyIsRetriedAfterItsHead() throws Exception {
        configure(RequestKind.ONCE, false, 2, Duration.ofSeconds(20));
        CompletableFuture<Long> closed = new CompletableFuture<>();
        CompletableFuture<String> ready = new CompletableFuture<>();
        String head = "HTTP/1.1 503 Busy\r\nid: 1\r\nnot-run: 1\r\n\r\n";
        try (ScriptedUpstream one = new ScriptedUpstream(respondEndlessly(head, "z".repeat(1_000), ready, closed));
                ScriptedUpstream two = new ScriptedUpstream(respondWith(okAnswer("done"), true))) {
            addUpstream("a", one.address());
            RecordingCaller caller = send("/p/x", "key");
            one.takeRequest();
            addUpstream("b", two.address());
            ready.complete("the other upstream is known");
            assertEquals(caller.answer.join(), "200 done");
            assertTrue(closed.join() < 32_000_000, closed.join() + " bytes were accepted");
        }
    }

    /** A body that never ends would keep its connection occupied in the upstream's pool. */
    @Test
    public void notRunAnswerWithStalledBodyClosesItsConnection() throws Exception {
        configure(RequestKind.ONCE, false, 1, Duration.ofSeconds(20));
        CompletableFuture<Boolean> end = new CompletableFuture<>();
        String head = "HTTP/1.1 503 Busy\r\nid: 1\r\nnot-run: 1\r\nContent-Length: 100\r\n\r\n";
        try (ScriptedUpstream one = new ScriptedUpstream((request, connection) -> {
            ScriptedUpstream.write(connection, head);
            end.complete(ScriptedUpstream.isClosedByClient(connection));
            return false;
        })) {
            addUpstream("a", one.address());
            assertEquals(sendAndAwaitAnswer(), "503 " + ResultCode.UPSTREAM_REFUSED);
            assertTrue(end.join());
        }
    }
}
