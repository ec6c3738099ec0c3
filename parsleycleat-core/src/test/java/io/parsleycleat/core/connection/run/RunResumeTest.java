package io.parsleycleat.core.connection.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.connection.peer.NettyPeerTransport;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import io.parsleycleat.wire.run.Resume;
import io.parsleycleat.wire.run.RunId;
import io.parsleycleat.wire.run.RunMessage;
import io.parsleycleat.wire.run.Start;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RunResumeTest {
    private static final long WAIT_SECONDS = 20;

    private EventLoopGroup loops;
    private ScheduledExecutorService scheduler;
    private NettyPeerTransport side;
    private NettyPeerTransport entry;
    private String sideAddress;
    private RunClient client;
    private final BlockingQueue<Started> started = new LinkedBlockingQueue<>();

    /** A run that the side was asked to start. */
    private record Started(RunId id, RunAnswer answer) {}

    @BeforeMethod
    public void connect() {
        loops = new NioEventLoopGroup(2);
        scheduler = Executors.newSingleThreadScheduledExecutor();
        started.clear();
        side = transport("side-1", ProcessRole.SIDE);
        entry = transport("entry-1", ProcessRole.ENTRY);
        sideAddress = IpAddresses.format(side.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
        new RunServer(side, scheduler, (id, start, answer) -> started.add(new Started(id, answer)));
        client = new RunClient(entry, entry, scheduler, 7);
    }

    @AfterMethod
    public void disconnect() {
        entry.close();
        side.close();
        scheduler.shutdownNow();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    public void answerIsWholeAfterALostConnection() throws Exception {
        Collector collector = new Collector();
        client.start(sideAddress, Start.getDefaultInstance(), collector);
        RunAnswer answer = take().answer();
        answer.head(AnswerHead.newBuilder().setStatus(200).build());
        answer.chunk(ByteString.copyFromUtf8("a"), 1);
        collector.awaitText("a");
        entry.close();
        answer.chunk(ByteString.copyFromUtf8("b"), 1);
        answer.chunk(ByteString.copyFromUtf8("c"), 1);
        answer.end(AnswerEnd.newBuilder().setCode(0));
        AnswerEnd end = collector.end.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(end.getCode(), 0, end.getDetail());
        assertEquals(collector.text(), "abc");
        assertEquals(started.size(), 0, "the run is not started again");
        assertEquals(collector.heads, 1);
    }

    @Test
    public void answerWaitsForCredit() throws Exception {
        Collector collector = new Collector();
        collector.consume = false;
        client.start(sideAddress, Start.getDefaultInstance(), collector);
        RunAnswer answer = take().answer();
        ByteString half = ByteString.copyFrom(new byte[RunClient.WINDOW_BYTES / 2]);
        answer.chunk(half, 0);
        answer.chunk(half, 0);
        answer.chunk(ByteString.copyFromUtf8("late"), 0);
        answer.end(AnswerEnd.newBuilder().setCode(0));
        collector.awaitChunks(2);
        assertFalse(collector.end.isDone());
        collector.run.consumed(RunClient.WINDOW_BYTES);
        assertEquals(collector.end.get(WAIT_SECONDS, TimeUnit.SECONDS).getCode(), 0);
        assertEquals(collector.chunks.size(), 3);
    }

    @Test
    public void startThatArrivesAfterTheResumeDoesNotRun() throws Exception {
        RunId id = RunId.newBuilder().setIncarnation(9).setSequence(1).build();
        CompletableFuture<AnswerEnd> refused = new CompletableFuture<>();
        NettyPeerTransport other = transport("entry-2", ProcessRole.ENTRY);
        other.register(
                Frame.BodyCase.RUN,
                (from, frame) -> refused.complete(frame.getRun().getEnd()));
        other.send(sideAddress, frame(RunMessage.newBuilder().setRunId(id).setResume(Resume.getDefaultInstance())));
        AnswerEnd end = refused.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(ResultCode.ofNumber(end.getCode()).orElseThrow().isNotRun());
        other.send(sideAddress, frame(RunMessage.newBuilder().setRunId(id).setStart(Start.getDefaultInstance())));
        RunId next = id.toBuilder().setSequence(2).build();
        other.send(sideAddress, frame(RunMessage.newBuilder().setRunId(next).setStart(Start.getDefaultInstance())));
        assertEquals(take().id(), next, "only the second run is started");
        other.close();
    }

    @Test
    public void sideThatCannotBeReachedDidNotRun() throws Exception {
        side.close();
        Collector collector = new Collector();
        client.start(sideAddress, Start.getDefaultInstance(), collector);
        AnswerEnd end = collector.end.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(end.getCode(), ResultCode.UPSTREAM_UNREACHABLE.number());
        assertEquals(client.openRuns(), 0);
    }

    @Test
    public void sideThatIsLostMayHaveRun() throws Exception {
        Collector collector = new Collector();
        client.start(sideAddress, Start.getDefaultInstance(), collector);
        take();
        side.close();
        AnswerEnd end = collector.end.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(end.getCode(), ResultCode.SIDE_LOST.number());
    }

    private Started take() throws InterruptedException {
        Started run = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(run != null, "the run was not started");
        return run;
    }

    private static Frame.Builder frame(RunMessage.Builder message) {
        return Frame.newBuilder().setRun(message);
    }

    private NettyPeerTransport transport(String name, ProcessRole role) {
        ProcessIdentity identity = new ProcessIdentity(name, role, "dc-1", "r-1", "127.0.0.1:0", 1);
        return new NettyPeerTransport(identity, loops, () -> 0, (from, frame) -> {});
    }

    /** Collects one answer. */
    private static final class Collector implements RunListener {
        private final List<AnswerChunk> chunks = Collections.synchronizedList(new ArrayList<>());
        private final BlockingQueue<Integer> arrivals = new LinkedBlockingQueue<>();
        private final CompletableFuture<AnswerEnd> end = new CompletableFuture<>();
        private volatile boolean consume = true;
        private volatile int heads;
        private volatile RunHandle run;

        @Override
        public void onStart(RunHandle started) {
            run = started;
        }

        @Override
        public void onHead(AnswerHead head) {
            heads++;
        }

        @Override
        public void onChunk(AnswerChunk chunk) {
            chunks.add(chunk);
            arrivals.add(chunks.size());
            if (consume) {
                run.consumed(chunk.getData().size());
            }
        }

        @Override
        public void onEnd(AnswerEnd received) {
            end.complete(received);
        }

        String text() {
            StringBuilder text = new StringBuilder();
            chunks.forEach(c -> text.append(c.getData().toStringUtf8()));
            return text.toString();
        }

        void awaitText(String expected) throws InterruptedException {
            awaitChunks(expected.length());
            assertEquals(text(), expected);
        }

        void awaitChunks(int count) throws InterruptedException {
            while (chunks.size() < count) {
                assertTrue(arrivals.poll(WAIT_SECONDS, TimeUnit.SECONDS) != null, "chunks are missing");
            }
        }
    }
}
