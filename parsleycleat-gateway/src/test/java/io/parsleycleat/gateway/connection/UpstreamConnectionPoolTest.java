package io.parsleycleat.gateway.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.ResponseListener;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import io.parsleycleat.gateway.connection.upstream.UpstreamConnectionPool;
import io.parsleycleat.gateway.connection.upstream.UpstreamRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

public class UpstreamConnectionPoolTest {
    private final EventLoopGroup loops = new NioEventLoopGroup(1);

    @AfterClass
    public void close() {
        loops.shutdownGracefully();
    }

    /** Records the outcome of one request. */
    private static class RecordingListener implements ResponseListener {
        private final CompletableFuture<String> result = new CompletableFuture<>();
        private final StringBuilder body = new StringBuilder();
        private final AtomicInteger partCount = new AtomicInteger();
        private volatile ResponseHead head;
        private volatile SendFailure failure;

        @Override
        public void onHead(ResponseHead newHead) {
            head = newHead;
        }

        @Override
        public void onBody(ByteString part) {
            body.append(part.toStringUtf8());
            partCount.incrementAndGet();
        }

        @Override
        public void onEnd() {
            result.complete("whole " + head.status() + " " + body);
        }

        @Override
        public void onFailure(SendFailure failed) {
            failure = failed;
            result.complete("failed, may have run " + failed.mayHaveRun());
        }
    }

    private UpstreamConnectionPool newPool(InetSocketAddress address) {
        return new UpstreamConnectionPool(address, loops.next(), TimeSource.SYSTEM, () -> 10);
    }

    private static UpstreamRequest request(String body) {
        return new UpstreamRequest("POST", "/x", "r1", List.of(Map.entry("Host", "h")), ByteString.copyFromUtf8(body));
    }

    private static String send(UpstreamConnectionPool pool) {
        RecordingListener recorded = new RecordingListener();
        pool.send(request("hello"), recorded);
        return recorded.result.join();
    }

    private static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Guards against an answer whose one-byte chunks each cost a call, a write and an object on the heap. */
    @Test
    public void chunksThatAreReadTogetherArePassedOnAsOne() throws Exception {
        String chunks = "1\r\nx\r\n".repeat(50_000);
        String answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
        try (ScriptedUpstream upstream = new ScriptedUpstream((request, connection) -> {
            ScriptedUpstream.write(connection, answer);
            return true;
        })) {
            UpstreamConnectionPool pool = newPool(upstream.address());
            RecordingListener recorded = new RecordingListener();
            pool.send(request("hello"), recorded);
            assertEquals(recorded.result.join(), "whole 200 " + "x".repeat(50_000));
            assertTrue(recorded.partCount.get() < 5_000, recorded.partCount + " parts");
            assertEquals(send(pool), "whole 200 " + "x".repeat(50_000));
        }
    }

    /** Guards against a response with no final status that is taken for the answer. */
    @Test
    public void interimResponsesArePassedOver() throws Exception {
        String interim = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        try (ScriptedUpstream upstream = new ScriptedUpstream((request, connection) -> {
            ScriptedUpstream.write(connection, interim + okResponse("done"));
            return true;
        })) {
            UpstreamConnectionPool pool = newPool(upstream.address());
            assertEquals(send(pool), "whole 200 done");
            assertEquals(send(pool), "whole 200 done");
        }
    }

    /** Guards against a request that was given up and still arrives when its upstream can be reached again. */
    @Test
    public void connectionOfCancelledRequestIsResetSoThatNothingOfItArrivesLater() throws Exception {
        CompletableFuture<String> end = new CompletableFuture<>();
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            end.complete(endOf(c));
            return false;
        })) {
            UpstreamConnectionPool.InFlightRequest sent =
                    newPool(upstream.address()).send(request("hello"), new RecordingListener());
            upstream.takeRequest();
            sent.cancel();
            assertEquals(end.join(), "reset");
        }
    }

    private static String endOf(Socket connection) {
        try {
            return connection.getInputStream().read() < 0 ? "closed" : "more bytes";
        } catch (IOException e) {
            return "reset";
        }
    }

    @Test
    public void reusesConnectionAfterCompleteResponse() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        Set<Integer> ports = ConcurrentHashMap.newKeySet();
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            if (ports.add(c.getPort())) {
                connections.incrementAndGet();
            }
            ScriptedUpstream.write(c, okResponse("ok"));
            return true;
        })) {
            UpstreamConnectionPool pool = newPool(upstream.address());
            assertEquals(send(pool), "whole 200 ok");
            assertEquals(send(pool), "whole 200 ok");
            assertEquals(connections.get(), 1);
            assertTrue(upstream.takeRequest().endsWith("hello"));
        }
    }

    @Test
    public void doesNotReadTrailingBytesAsNextResponse() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            String extra = calls.incrementAndGet() == 1 ? okResponse("stray") : "";
            ScriptedUpstream.write(c, okResponse("ok") + extra);
            return true;
        })) {
            UpstreamConnectionPool pool = newPool(upstream.address());
            assertEquals(send(pool), "whole 200 ok");
            assertEquals(send(pool), "whole 200 ok");
        }
    }

    @Test
    public void failsOnTruncatedBodyWithContentLength() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            ScriptedUpstream.write(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            return false;
        })) {
            assertEquals(send(newPool(upstream.address())), "failed, may have run true");
        }
    }

    @Test
    public void failsOnTruncatedChunkedBody() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            ScriptedUpstream.write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
            return false;
        })) {
            assertEquals(send(newPool(upstream.address())), "failed, may have run true");
        }
    }

    @Test
    public void acceptsBodyEndedByConnectionClose() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            ScriptedUpstream.write(c, "HTTP/1.1 200 OK\r\n\r\nall of it");
            return false;
        })) {
            assertEquals(send(newPool(upstream.address())), "whole 200 all of it");
        }
    }

    @Test
    public void failsOnConnectionResetInBodyWithoutLength() throws Exception {
        CountDownLatch bodySeen = new CountDownLatch(1);
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            ScriptedUpstream.write(c, "HTTP/1.1 200 OK\r\n\r\nhalf");
            try {
                bodySeen.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            c.setSoLinger(true, 0);
            return false;
        })) {
            RecordingListener recorded = new RecordingListener() {
                @Override
                public void onBody(ByteString part) {
                    super.onBody(part);
                    bodySeen.countDown();
                }
            };
            newPool(upstream.address()).send(request("hello"), recorded);
            assertEquals(recorded.result.join(), "failed, may have run true");
        }
    }

    @Test
    public void failsOnBytesThatAreNotHttp() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            ScriptedUpstream.write(c, "nonsense that is no answer\r\n\r\n");
            return false;
        })) {
            assertEquals(send(newPool(upstream.address())), "failed, may have run true");
        }
    }

    @Test
    public void refusedConnectionMeansRequestDidNotRun() throws Exception {
        InetSocketAddress free;
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            free = (InetSocketAddress) probe.getLocalSocketAddress();
        }
        assertEquals(send(newPool(free)), "failed, may have run false");
    }

    @Test
    public void doesNotExceedConnectionLimit() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            arrived.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            ScriptedUpstream.write(c, okResponse("ok"));
            return true;
        })) {
            UpstreamConnectionPool pool =
                    new UpstreamConnectionPool(upstream.address(), loops.next(), TimeSource.SYSTEM, () -> 1);
            RecordingListener first = new RecordingListener();
            pool.send(request("hello"), first);
            arrived.await();
            assertEquals(send(pool), "failed, may have run false");
            assertFalse(first.result.isDone());
            release.countDown();
            assertEquals(first.result.join(), "whole 200 ok");
        }
    }

    // Guards against taking an upstream for crashed because this VM opens no further connection to it.
    @Test
    public void onlyRefusedConnectionShowsThatNoProcessListens() throws Exception {
        RecordingListener overLimit = new RecordingListener();
        new UpstreamConnectionPool(refusingAddress(), loops.next(), TimeSource.SYSTEM, () -> 0)
                .send(request("hello"), overLimit);
        overLimit.result.join();
        assertFalse(overLimit.failure.refused());
        RecordingListener refused = new RecordingListener();
        newPool(refusingAddress()).send(request("hello"), refused);
        refused.result.join();
        assertTrue(refused.failure.refused());
        assertFalse(refused.failure.mayHaveRun());
    }

    private static InetSocketAddress refusingAddress() throws Exception {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) probe.getLocalSocketAddress();
        }
    }

    // Guards against crashes that become known only when the next request is sent to the upstream.
    @Test
    public void checkReportsRefusedConnection() throws Exception {
        CompletableFuture<Void> refused = new CompletableFuture<>();
        newPool(refusingAddress()).checkListening(() -> refused.complete(null));
        refused.join();
    }

    @Test
    public void connectionOfCheckIsUsedByNextRequest() throws Exception {
        Set<Integer> ports = ConcurrentHashMap.newKeySet();
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            UpstreamConnectionPool pool = newPool((InetSocketAddress) server.getLocalSocketAddress());
            pool.checkListening(() -> {});
            try (Socket checked = server.accept()) {
                // A timer fires after the event loop has handled the connection, which is open since it was accepted.
                loops.next().schedule(() -> {}, 1, TimeUnit.MILLISECONDS).get();
                pool.send(request("hello"), new RecordingListener());
                assertTrue(checked.getInputStream().read() > 0);
            }
        }
    }

    @Test
    public void keptConnectionIsUsedUntilShortlyBeforeTheIdleTimeoutOfTheUpstream() throws Exception {
        assertEquals(connectionsForTwoRequests("timeout=5", 4_690), 1);
        assertEquals(connectionsForTwoRequests("timeout=5", 4_710), 2);
        assertEquals(connectionsForTwoRequests("timeout=1, max=100", 690), 1);
        assertEquals(connectionsForTwoRequests("timeout=1, max=100", 710), 2);
        assertEquals(connectionsForTwoRequests("timeout=0", 1), 2);
    }

    private int connectionsForTwoRequests(String keepAlive, long idleMillis) throws Exception {
        ManualTimeSource time = new ManualTimeSource();
        Set<Integer> ports = ConcurrentHashMap.newKeySet();
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            ports.add(c.getPort());
            ScriptedUpstream.write(
                    c, "HTTP/1.1 200 OK\r\nKeep-Alive: " + keepAlive + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        })) {
            UpstreamConnectionPool pool = new UpstreamConnectionPool(upstream.address(), loops.next(), time, () -> 10);
            assertEquals(send(pool), "whole 200 ok");
            // The connection becomes idle in the task that ends the response.
            loops.next()
                    .submit(() -> time.advance(Duration.ofMillis(idleMillis)))
                    .get();
            assertEquals(send(pool), "whole 200 ok");
        }
        return ports.size();
    }

    // Guards against a request that is sent behind a close of the upstream that waits unread, and counts as run then.
    @Test
    public void closeThatWaitsUnreadIsSeenBeforeTheNextRequest() throws Exception {
        CompletableFuture<Socket> first = new CompletableFuture<>();
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            first.complete(c);
            ScriptedUpstream.write(c, okResponse("ok"));
            return true;
        })) {
            UpstreamConnectionPool pool = newPool(upstream.address());
            assertEquals(send(pool), "whole 200 ok");
            RecordingListener recorded = new RecordingListener();
            loops.next()
                    .submit(() -> {
                        first.join().shutdownOutput();
                        return pool.send(request("hello"), recorded);
                    })
                    .get();
            assertEquals(recorded.result.join(), "whole 200 ok");
        }
    }
}
