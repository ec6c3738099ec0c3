package io.parsleycleat.core.connection.run;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.peer.FrameHandler;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.VirtualScheduler;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.Cancel;
import io.parsleycleat.wire.run.Credit;
import io.parsleycleat.wire.run.Resume;
import io.parsleycleat.wire.run.RunId;
import io.parsleycleat.wire.run.RunMessage;
import io.parsleycleat.wire.run.Start;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RunServerTest {
    private static final RunId RUN =
            RunId.newBuilder().setIncarnation(1).setSequence(1).build();
    /** Longer than a side keeps anything that nobody asks for. */
    private static final long LONG_MILLIS = 60_000;

    private VirtualScheduler scheduler;
    private Map<Frame.BodyCase, FrameHandler> handlers;
    private List<RunAnswer> started;
    private RunServer server;

    @BeforeMethod
    public void createServer() {
        scheduler = new VirtualScheduler();
        handlers = new HashMap<>();
        started = new ArrayList<>();
        server = new RunServer(handlers::put, scheduler, (id, start, answer) -> started.add(answer));
    }

    /** Guards against an answer that loses its rest since its caller takes it more slowly than the upstream made it. */
    @Test
    public void restOfAnEndedAnswerIsKeptForASlowCaller() {
        RecordedChannel channel = new RecordedChannel();
        receive(channel, RunMessage.newBuilder().setStart(Start.newBuilder().setInitialCreditBytes(4)));
        started.get(0).chunk(ByteString.copyFromUtf8("head"), 0);
        started.get(0).chunk(ByteString.copyFromUtf8("rest"), 0);
        started.get(0).end(AnswerEnd.newBuilder().setCode(ResultCode.DONE.number()));
        assertEquals(channel.text(), "head");
        scheduler.advance(LONG_MILLIS);
        receive(channel, RunMessage.newBuilder().setCredit(Credit.newBuilder().setBytes(4)));
        assertEquals(channel.text(), "headrest");
        assertEquals(channel.ends(), 1, "ends that were sent");
        scheduler.advance(LONG_MILLIS);
        assertEquals(server.keptRuns(), 0, "runs that are kept once the answer has left");
    }

    /** Guards against answers that stay in memory although nobody can take them any more. */
    @Test
    public void restOfAnEndedAnswerIsForgottenOnceNobodyWantsIt() {
        RecordedChannel left = new RecordedChannel();
        receive(left, RunMessage.newBuilder().setStart(Start.getDefaultInstance()));
        started.get(0).chunk(ByteString.copyFromUtf8("text"), 0);
        started.get(0).end(AnswerEnd.newBuilder());
        left.lose();
        scheduler.advance(LONG_MILLIS);
        assertEquals(server.keptRuns(), 0, "runs of a connection that was lost");
        receive(new RecordedChannel(), RUN.toBuilder().setSequence(2).build());
        started.get(1).chunk(ByteString.copyFromUtf8("text"), 0);
        started.get(1).end(AnswerEnd.newBuilder());
        handlers.get(Frame.BodyCase.RUN)
                .handle(
                        left,
                        frame(RunMessage.newBuilder()
                                .setRunId(RUN.toBuilder().setSequence(2))
                                .setCancel(Cancel.getDefaultInstance())));
        scheduler.advance(LONG_MILLIS);
        assertEquals(server.keptRuns(), 0, "runs whose caller left");
    }

    /** Guards against the end of a live run by the timer of an earlier lost connection. */
    @Test
    public void runThatWasResumedIsNotCancelledForAnEarlierLoss() {
        List<String> cancelled = new ArrayList<>();
        RecordedChannel first = new RecordedChannel();
        receive(first, RunMessage.newBuilder().setStart(Start.getDefaultInstance()));
        started.get(0).onCancel(() -> cancelled.add("run"));
        first.lose();
        scheduler.advance(RunServer.ORPHAN_TIMEOUT.toMillis() - 1);
        RecordedChannel second = new RecordedChannel();
        receive(second, RunMessage.newBuilder().setResume(Resume.getDefaultInstance()));
        second.lose();
        scheduler.advance(RunServer.ORPHAN_TIMEOUT.toMillis() - 1);
        assertEquals(cancelled, List.of(), "cancelled before the time of the second loss was over");
        scheduler.advance(1);
        assertEquals(cancelled, List.of("run"));
    }

    /** Guards against runs that a stop forgets, and against a second end of those that have ended. */
    @Test
    public void stopReachesEachRunThatHasNotEnded() {
        List<String> stopped = new ArrayList<>();
        RecordedChannel channel = new RecordedChannel();
        receive(channel, RUN);
        receive(channel, RUN.toBuilder().setSequence(2).build());
        started.get(0).onStop(() -> stopped.add("ended"));
        started.get(0).end(AnswerEnd.newBuilder());
        started.get(1).onStop(() -> stopped.add("open"));
        assertEquals(server.endOpenRuns(), 1);
        assertEquals(stopped, List.of("open"));
        started.get(1).onStop(() -> stopped.add("late"));
        assertEquals(stopped, List.of("open", "late"));
    }

    private void receive(RecordedChannel from, RunId id) {
        handlers.get(Frame.BodyCase.RUN)
                .handle(from, frame(RunMessage.newBuilder().setRunId(id).setStart(Start.getDefaultInstance())));
    }

    private void receive(RecordedChannel from, RunMessage.Builder message) {
        handlers.get(Frame.BodyCase.RUN).handle(from, frame(message.setRunId(RUN)));
    }

    private static Frame frame(RunMessage.Builder message) {
        return Frame.newBuilder().setRun(message).build();
    }

    /** A connection that keeps what was sent on it. */
    private static final class RecordedChannel implements PeerChannel {
        private final List<RunMessage> sent = new ArrayList<>();
        private final List<Runnable> closeActions = new ArrayList<>();

        void lose() {
            List.copyOf(closeActions).forEach(Runnable::run);
        }

        String text() {
            StringBuilder text = new StringBuilder();
            sent.stream()
                    .filter(RunMessage::hasChunk)
                    .forEach(m -> text.append(m.getChunk().getData().toStringUtf8()));
            return text.toString();
        }

        long ends() {
            return sent.stream().filter(RunMessage::hasEnd).count();
        }

        @Override
        public Hello hello() {
            return Hello.getDefaultInstance();
        }

        @Override
        public void send(Frame frame) {
            sent.add(frame.getRun());
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void onClose(Runnable action) {
            closeActions.add(action);
        }
    }
}
