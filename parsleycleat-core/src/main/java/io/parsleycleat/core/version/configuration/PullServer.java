package io.parsleycleat.core.version.configuration;

import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ConfigurationMessage;
import io.parsleycleat.wire.configuration.Delta;
import io.parsleycleat.wire.configuration.Pull;
import io.parsleycleat.wire.configuration.PullAnswer;
import io.parsleycleat.wire.configuration.Snapshot;
import io.parsleycleat.wire.configuration.Withdrawals;
import io.parsleycleat.wire.peer.Failure;
import io.parsleycleat.wire.peer.Frame;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Answers the processes that ask this one for the configuration. An answer is held back until there is something new or
 * the asker's wait is over, is never larger than one snapshot, and goes through whatever the asker was told before.
 *
 * <p>Created by {@link ConfigurationStore}; safe to share between threads.
 */
final class PullServer {
    private static final int MAX_HELD = 2_000;
    private static final int MAX_DELTA_CHANGES = 500;
    private static final long ASKED_NEVER = Long.MIN_VALUE;
    private static final long ASKED_LATELY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final StoreParts parts;
    private final StateHolder holder;
    private final Set<HeldPull> held = new LinkedHashSet<>();
    private final AtomicLong askedNanos = new AtomicLong(ASKED_NEVER);
    private final Runnable whenAsked;
    private @Nullable Snapshot lastSnapshot;

    /** A question whose answer is held back. Created for each such question; immutable. */
    private record HeldPull(PeerChannel channel, Frame request) {
        Pull pull() {
            return request.getConfiguration().getPull();
        }
    }

    /**
     * Creates a server.
     *
     * @param whenAsked called when another process relies on this one for news
     */
    PullServer(StoreParts parts, StateHolder holder, Runnable whenAsked) {
        this.parts = parts;
        this.holder = holder;
        this.whenAsked = whenAsked;
    }

    /** Handles a frame of another process. */
    void handle(PeerChannel from, Frame frame) {
        parts.monitor().heardPeer();
        ConfigurationMessage message = frame.getConfiguration();
        switch (message.getMessageCase()) {
            case PULL -> onPull(from, frame, message.getPull());
            case WITHDRAWALS -> onWithdrawals(from, frame, message.getWithdrawals());
            default -> from.reply(frame, failure(ResultCode.FRAME_MALFORMED));
        }
    }

    /** Answers the questions that wait for what is known now. */
    void onChange() {
        List<HeldPull> answerable;
        synchronized (held) {
            answerable = held.stream().filter(h -> hasNews(h.pull())).toList();
            answerable.forEach(held::remove);
        }
        answerable.forEach(h -> h.channel().reply(h.request(), answer(h.pull())));
    }

    /** Returns whether another process lately relied on this one for news. */
    boolean isAskedLately() {
        long nanos = askedNanos.get();
        return nanos != ASKED_NEVER && parts.time().monotonicNanos() - nanos < ASKED_LATELY_NANOS;
    }

    private void onPull(PeerChannel from, Frame frame, Pull pull) {
        holder.withdraw(pull.getWithdrawals().getChangesList());
        if (pull.getWaitMillis() > 0) {
            askedNanos.set(parts.time().monotonicNanos());
            whenAsked.run();
        }
        if (!holder.isReady()) {
            from.reply(frame, failure(ResultCode.NOT_READY));
        } else if (pull.getWaitMillis() == 0 || hasNews(pull) || !hold(from, frame)) {
            from.reply(frame, answer(pull));
        }
    }

    private void onWithdrawals(PeerChannel from, Frame frame, Withdrawals withdrawals) {
        holder.withdraw(withdrawals.getChangesList());
        if (frame.getCorrelationId() != 0) {
            from.reply(frame, answered(PullAnswer.newBuilder()));
        }
    }

    private boolean hold(PeerChannel from, Frame frame) {
        HeldPull pull = new HeldPull(from, frame);
        synchronized (held) {
            if (held.size() >= MAX_HELD) {
                return false;
            }
            held.add(pull);
        }
        long wait = pull.pull().getWaitMillis();
        parts.scheduler().schedule(() -> release(pull), wait, TimeUnit.MILLISECONDS);
        onChange();
        return true;
    }

    private void release(HeldPull pull) {
        if (forget(pull)) {
            pull.channel().reply(pull.request(), answer(pull.pull()));
        }
    }

    private boolean forget(HeldPull pull) {
        synchronized (held) {
            return held.remove(pull);
        }
    }

    private boolean hasNews(Pull pull) {
        KnownConfiguration known = holder.known();
        return known.version() > pull.getFromOffset() || !unknownTo(pull, known).isEmpty();
    }

    private static List<Change> unknownTo(Pull pull, KnownConfiguration known) {
        if (known.withdrawals().isEmpty()) {
            return List.of();
        }
        List<String> theirs = pull.getWithdrawals().getChangesList().stream()
                .map(Change::getItemId)
                .toList();
        return known.withdrawals().values().stream()
                .filter(change -> !theirs.contains(change.getItemId()))
                .toList();
    }

    private Frame.Builder answer(Pull pull) {
        KnownConfiguration known = holder.known();
        ConfigurationState state = known.state();
        PullAnswer.Builder answer = PullAnswer.newBuilder()
                .setWithdrawals(Withdrawals.newBuilder().addAllChanges(unknownTo(pull, known)))
                .setNewestSnapshot(holder.newestSnapshot())
                .setContactAgeMillis(parts.monitor().contactAge().toMillis());
        long from = pull.getFromOffset();
        List<AuditEntry> entries = from < state.version() ? state.recentFrom(from) : List.of();
        if (from < state.recentFloor() || entries.size() > MAX_DELTA_CHANGES) {
            answer.setSnapshot(snapshot(state));
        } else {
            answer.setDelta(delta(from, entries, state.version()));
        }
        return answered(answer);
    }

    private static Delta delta(long from, List<AuditEntry> entries, long nextOffset) {
        Delta.Builder delta = Delta.newBuilder().setFromOffset(from).setNextOffset(nextOffset);
        entries.forEach(e -> delta.addEntries(
                AuditEntry.newBuilder().setOffset(e.getOffset()).setChange(e.getChange())));
        return delta.build();
    }

    private synchronized Snapshot snapshot(ConfigurationState state) {
        Snapshot last = lastSnapshot;
        if (last == null || last.getNextOffset() < state.version()) {
            last = state.toSnapshot();
            lastSnapshot = last;
        }
        return last;
    }

    private static Frame.Builder answered(PullAnswer.Builder answer) {
        return Frame.newBuilder()
                .setConfiguration(ConfigurationMessage.newBuilder().setAnswer(answer));
    }

    private static Frame.Builder failure(ResultCode code) {
        return Frame.newBuilder()
                .setFailure(Failure.newBuilder().setCode(code.number()).setDetail(code.meaning()));
    }
}
