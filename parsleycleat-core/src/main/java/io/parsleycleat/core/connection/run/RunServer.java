package io.parsleycleat.core.connection.run;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.Resume;
import io.parsleycleat.wire.run.RunId;
import io.parsleycleat.wire.run.RunMessage;
import io.parsleycleat.wire.run.Start;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Takes runs from entries and keeps their answers until the entry has them.
 *
 * <p>One a side; safe to share between threads.
 */
public final class RunServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** How long a run without a connection is kept, and an ended one after its answer has left. */
    static final Duration ORPHAN_TIMEOUT = Duration.ofSeconds(5);

    /** Bounds the log lines of one stop. */
    private static final int MAX_LOGGED = 200;

    private final ScheduledExecutorService scheduler;
    private final RunStarter starter;
    private final Map<RunId, ServerRun> runs = new ConcurrentHashMap<>();
    private final ChannelRuns<ServerRun> channels = new ChannelRuns<>(this::lost);

    /** Creates a server and registers it for the frames of runs. */
    public RunServer(FrameRouter router, ScheduledExecutorService scheduler, RunStarter starter) {
        this.scheduler = scheduler;
        this.starter = starter;
        router.register(Frame.BodyCase.RUN, (from, frame) -> receive(from, frame.getRun()));
    }

    /** Returns how many runs have not ended, or whose end is not on its way to an entry that is connected. */
    public long openRuns() {
        return runs.values().stream().filter(r -> !r.isDelivered()).count();
    }

    /** Ends each open run since the side stops, and names them in the log. Returns how many there were. */
    public int endOpenRuns() {
        List<Map.Entry<RunId, ServerRun>> open =
                runs.entrySet().stream().filter(e -> !e.getValue().isEnded()).toList();
        open.stream()
                .limit(MAX_LOGGED)
                .map(Map.Entry::getKey)
                .forEach(id -> logger.atWarning().log(
                        "run %d of the entry's incarnation %d is ended by the stop",
                        id.getSequence(), id.getIncarnation()));
        open.forEach(e -> e.getValue().stop());
        return open.size();
    }

    /** Returns how many runs are kept, those that have ended included. */
    int keptRuns() {
        return runs.size();
    }

    private void receive(PeerChannel from, RunMessage message) {
        switch (message.getMessageCase()) {
            case START -> start(from, message.getRunId(), message.getStart());
            case RESUME -> resume(from, message.getRunId(), message.getResume());
            case CANCEL -> withRun(message.getRunId(), ServerRun::cancel);
            case CREDIT -> withRun(
                    message.getRunId(), run -> run.addCredit(message.getCredit().getBytes()));
            default -> logger.atWarning().log("a side takes no %s", message.getMessageCase());
        }
    }

    private void withRun(RunId id, java.util.function.Consumer<ServerRun> action) {
        ServerRun run = runs.get(id);
        if (run != null) {
            action.accept(run);
        }
    }

    private void start(PeerChannel from, RunId id, Start start) {
        ServerRun run = new ServerRun(id, start.getInitialCreditBytes(), () -> expire(id));
        if (runs.putIfAbsent(id, run) != null) {
            return;
        }
        attach(run, from);
        starter.start(id, start, run);
    }

    /** A run that is not known is refused for good, so that a start that is still on its way does nothing. */
    private void resume(PeerChannel from, RunId id, Resume resume) {
        ServerRun tombstone = new ServerRun(id, 0, () -> expire(id));
        ServerRun known = runs.putIfAbsent(id, tombstone);
        ServerRun run = known == null ? tombstone : known;
        run.resumeAt(resume.getNextSequence(), resume.getInitialCreditBytes());
        attach(run, from);
        if (known == null) {
            boolean neverStarted = resume.getNextSequence() == 0;
            run.end(AnswerEnd.newBuilder()
                    .setCode((neverStarted ? ResultCode.UPSTREAM_UNREACHABLE : ResultCode.SIDE_LOST).number())
                    .setDetail("the side does not know the run"));
        }
    }

    private void attach(ServerRun run, PeerChannel channel) {
        run.attach(channel);
        channels.add(channel, run);
    }

    private void lost(ServerRun run, PeerChannel channel) {
        if (run.detach(channel)) {
            long seen = run.deliveries();
            scheduler.schedule(() -> cancelOrphan(run, seen), ORPHAN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Cancels a run that had no connection for the whole time. */
    private void cancelOrphan(ServerRun run, long seen) {
        if (run.isDetached() && run.deliveries() == seen && !run.isEnded()) {
            run.cancel();
        }
    }

    private void expire(RunId id) {
        ServerRun run = runs.get(id);
        if (run != null) {
            long seen = run.deliveries();
            scheduler.schedule(() -> forget(id, run, seen), ORPHAN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Forgets an ended run once its answer was settled for the whole time; looks again later otherwise. */
    private void forget(RunId id, ServerRun run, long seen) {
        if (!run.isSettled() || run.deliveries() != seen) {
            expire(id);
            return;
        }
        runs.remove(id, run);
        run.channel().ifPresent(channel -> channels.remove(channel, run));
    }
}
