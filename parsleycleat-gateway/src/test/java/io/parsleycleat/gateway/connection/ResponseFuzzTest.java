package io.parsleycleat.gateway.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.connection.upstream.ResponseHead;
import io.parsleycleat.gateway.connection.upstream.ResponseListener;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import io.parsleycleat.gateway.connection.upstream.UpstreamConnectionPool;
import io.parsleycleat.gateway.connection.upstream.UpstreamRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * Guards against responses with changed, missing, repeated or truncated bytes: each request must complete exactly once,
 * and no leftover byte may reach the response to the next request.
 */
public class ResponseFuzzTest {
    private static final int MUTATED_RESPONSES = 400;
    private static final String WITH_CONTENT_LENGTH =
            "HTTP/1.1 200 OK\r\nX-Mark: s\r\nContent-Length: 24\r\n\r\n" + "id: 1\ndata: a\n\nid: 2\n\n\n\n";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nX-Mark: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

    private final EventLoopGroup loops = new NioEventLoopGroup(1);

    @AfterClass
    public void close() {
        loops.shutdownGracefully();
    }

    /** Records the outcome of one request and counts its completions, of which there must be exactly one. */
    private static final class CompletionRecorder implements ResponseListener {
        private final CompletableFuture<Boolean> succeeded = new CompletableFuture<>();
        private final AtomicInteger completions = new AtomicInteger();
        private final AtomicInteger bodyBytes = new AtomicInteger();

        @Override
        public void onHead(ResponseHead head) {}

        @Override
        public void onBody(ByteString part) {
            bodyBytes.addAndGet(part.size());
        }

        @Override
        public void onEnd() {
            completions.incrementAndGet();
            succeeded.complete(true);
        }

        @Override
        public void onFailure(SendFailure failed) {
            completions.incrementAndGet();
            succeeded.complete(false);
        }
    }

    private static byte[] mutatedResponse(SplittableRandom random) {
        StringBuilder response = new StringBuilder(random.nextBoolean() ? WITH_CONTENT_LENGTH : CHUNKED);
        int changes = random.nextInt(1, 4);
        for (int i = 0; i < changes && response.length() > 1; i++) {
            int at = random.nextInt(response.length());
            switch (random.nextInt(5)) {
                case 0 -> response.setCharAt(at, (char) random.nextInt(256));
                case 1 -> response.deleteCharAt(at);
                case 2 -> response.insert(at, response.substring(at, Math.min(response.length(), at + 20)));
                case 3 -> response.setLength(at);
                default -> response.append(response, 0, at);
            }
        }
        return response.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static CompletionRecorder send(UpstreamConnectionPool pool) {
        CompletionRecorder recorder = new CompletionRecorder();
        pool.send(
                new UpstreamRequest("POST", "/x", "r1", List.of(Map.entry("Host", "h")), ByteString.copyFromUtf8("x")),
                recorder);
        return recorder;
    }

    @Test
    public void completesOnceOnMutatedResponseAndServesNextRequest() throws Exception {
        SplittableRandom random = new SplittableRandom(29);
        AtomicBoolean mutateNext = new AtomicBoolean();
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            boolean mutated = mutateNext.getAndSet(false);
            c.getOutputStream()
                    .write(mutated ? mutatedResponse(random) : CHUNKED.getBytes(StandardCharsets.ISO_8859_1));
            c.getOutputStream().flush();
            return !mutated;
        })) {
            UpstreamConnectionPool pool =
                    new UpstreamConnectionPool(upstream.address(), loops.next(), TimeSource.SYSTEM, () -> 10);
            for (int i = 0; i < MUTATED_RESPONSES; i++) {
                mutateNext.set(true);
                CompletionRecorder mutated = send(pool);
                boolean firstSucceeded = mutated.succeeded.join();
                CompletionRecorder next = send(pool);
                if (firstSucceeded && !next.succeeded.join()) {
                    // The upstream closed the connection after a response that looked complete.
                    next = send(pool);
                }
                assertTrue(next.succeeded.join(), "mutated response " + i + " affects the next one");
                assertEquals(next.bodyBytes.get(), 30);
                assertEquals(mutated.completions.get(), 1, "mutated response " + i + " must complete exactly once");
            }
        }
    }
}
