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

/** Answers with bytes changed, left out, doubled and cut off: each send ends, and the next one is served. */
public class AnswerFuzzTest {
    private static final int SEEDS = 400;
    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nX-Mark: s\r\nContent-Length: 24\r\n\r\n" + "id: 1\ndata: a\n\nid: 2\n\n\n\n";
    private static final String IN_CHUNKS = "HTTP/1.1 200 OK\r\nX-Mark: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

    private final EventLoopGroup loops = new NioEventLoopGroup(1);

    @AfterClass
    public void close() {
        loops.shutdownGracefully();
    }

    /** What one send came to; more than one end is a fault. */
    private static final class Ends implements ResponseListener {
        private final CompletableFuture<Boolean> whole = new CompletableFuture<>();
        private final AtomicInteger ends = new AtomicInteger();
        private final AtomicInteger bytes = new AtomicInteger();

        @Override
        public void onHead(ResponseHead answer) {}

        @Override
        public void onBody(ByteString part) {
            bytes.addAndGet(part.size());
        }

        @Override
        public void onEnd() {
            ends.incrementAndGet();
            whole.complete(true);
        }

        @Override
        public void onFailure(SendFailure failed) {
            ends.incrementAndGet();
            whole.complete(false);
        }
    }

    private static byte[] mutated(SplittableRandom random) {
        StringBuilder answer = new StringBuilder(random.nextBoolean() ? WHOLE : IN_CHUNKS);
        int changes = random.nextInt(1, 4);
        for (int i = 0; i < changes && answer.length() > 1; i++) {
            int at = random.nextInt(answer.length());
            switch (random.nextInt(5)) {
                case 0 -> answer.setCharAt(at, (char) random.nextInt(256));
                case 1 -> answer.deleteCharAt(at);
                case 2 -> answer.insert(at, answer.substring(at, Math.min(answer.length(), at + 20)));
                case 3 -> answer.setLength(at);
                default -> answer.append(answer, 0, at);
            }
        }
        return answer.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static Ends send(UpstreamConnectionPool pool) {
        Ends ends = new Ends();
        pool.send(
                new UpstreamRequest("POST", "/x", "r1", List.of(Map.entry("Host", "h")), ByteString.copyFromUtf8("x")),
                ends);
        return ends;
    }

    @Test
    public void everySpoiledAnswerEndsAndTheNextRequestIsServed() throws Exception {
        SplittableRandom random = new SplittableRandom(29);
        AtomicBoolean spoil = new AtomicBoolean();
        try (ScriptedUpstream upstream = new ScriptedUpstream((r, c) -> {
            boolean spoiled = spoil.getAndSet(false);
            c.getOutputStream().write(spoiled ? mutated(random) : IN_CHUNKS.getBytes(StandardCharsets.ISO_8859_1));
            c.getOutputStream().flush();
            return !spoiled;
        })) {
            UpstreamConnectionPool pool =
                    new UpstreamConnectionPool(upstream.address(), loops.next(), TimeSource.SYSTEM, () -> 10);
            for (int i = 0; i < SEEDS; i++) {
                spoil.set(true);
                Ends spoiled = send(pool);
                boolean whole = spoiled.whole.join();
                Ends next = send(pool);
                if (whole && !next.whole.join()) {
                    // The upstream closed the connection behind an answer that looked whole.
                    next = send(pool);
                }
                assertTrue(next.whole.join(), "answer " + i + " spoils the next one");
                assertEquals(next.bytes.get(), 30);
                assertEquals(spoiled.ends.get(), 1, "answer " + i + " ends once");
            }
        }
    }
}
