package io.parsleycleat.core.request.routing;

import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.process.slots.LoadPriority;
import io.parsleycleat.core.process.slots.SlotReport;
import io.parsleycleat.core.process.slots.SlotReporter;
import io.parsleycleat.core.request.queue.RunQueue;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.routing.Probe;
import io.parsleycleat.wire.routing.ProbeAnswer;
import io.parsleycleat.wire.routing.RoutingMessage;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Answers the probes of entries from the side's slot table and queue.
 *
 * <p>Created once by the side; safe to share between threads.
 */
public final class ProbeResponder {
    private final String upstreamId;
    private final long sideIncarnation;
    private final RunQueue queue;
    private @Nullable SlotReporter slots;
    private IntSupplier waitingForLoads = () -> 0;
    private Supplier<String> upstreamIncarnation = () -> "";
    private BooleanSupplier leaving = () -> false;
    private BooleanSupplier reachable = () -> true;
    private RecentPrefixes prefixes = new RecentPrefixes();

    /** Creates a responder for a plain service that is reachable and not leaving. */
    public ProbeResponder(String upstreamId, long sideIncarnation, RunQueue queue) {
        this.upstreamId = upstreamId;
        this.sideIncarnation = sideIncarnation;
        this.queue = queue;
    }

    // Configuration, before the responder is registered

    /** Sets where the state of adapters comes from, and how many runs wait for loads before they are queued. */
    public ProbeResponder withSlots(SlotReporter newSlots, IntSupplier newWaitingForLoads) {
        slots = newSlots;
        waitingForLoads = newWaitingForLoads;
        return this;
    }

    /** Sets where the upstream's incarnation comes from, and whether the side may run something on it. */
    public ProbeResponder withUpstream(Supplier<String> newIncarnation, BooleanSupplier newReachable) {
        upstreamIncarnation = newIncarnation;
        reachable = newReachable;
        return this;
    }

    /** Sets whether the side or its upstream is leaving. */
    public ProbeResponder withLeaving(BooleanSupplier newLeaving) {
        leaving = newLeaving;
        return this;
    }

    /** Sets the prompt prefixes that ran a short time ago. */
    public ProbeResponder withPrefixes(RecentPrefixes newPrefixes) {
        prefixes = newPrefixes;
        return this;
    }

    /** Starts to answer probes. */
    public void register(FrameRouter router) {
        router.register(Frame.BodyCase.ROUTING, this::handle);
    }

    // Probes

    /** Answers one probe. */
    public ProbeAnswer answer(Probe probe) {
        ProbeAnswer.Builder answer = ProbeAnswer.newBuilder()
                .setUpstreamId(upstreamId)
                .setSideIncarnation(sideIncarnation)
                .setUpstreamIncarnation(upstreamIncarnation.get())
                .setLeaving(leaving.getAsBoolean())
                .setReachable(reachable.getAsBoolean())
                .setRunning(queue.running())
                .setQueued(queue.waiting())
                .setWaitPerRunMillis(toInt(queue.waitPerRunMillis()))
                .setFreePlaces(Math.max(0, queue.freePlaces(probe.getFreeTier()) - waitingForLoads.getAsInt()))
                .setExpectedWaitMillis(expectedWait(probe));
        SlotReporter source = slots;
        if (source != null && !probe.getAdapterId().isEmpty()) {
            SlotReport report = source.report(
                    new AdapterVersion(probe.getAdapterId(), probe.getVersion()),
                    probe.getFreeTier() ? LoadPriority.FREE : LoadPriority.PAYING,
                    probe.getAccountId());
            answer.setAdapter(report.state())
                    .setFreeSlots(report.freeSlots())
                    .setEvictableSlots(report.evictableSlots())
                    .setExpectedLoadMillis(toInt(report.expectedLoadMillis()))
                    .setPrefixCached(prefixes.contains(probe.getAdapterId(), probe.getPrefixHash()));
        }
        return answer.build();
    }

    /** Returns the wait in the queue, with the runs that wait for loads and are queued then. */
    private int expectedWait(Probe probe) {
        int free = queue.freePlaces(probe.getFreeTier());
        long queued = queue.expectedWaitMillis(probe.getFreeTier(), probe.getAccountId());
        long beyond = Math.max(0, waitingForLoads.getAsInt() - free + 1);
        return toInt(
                queued + (queued == 0 && free > waitingForLoads.getAsInt() ? 0 : beyond * queue.waitPerRunMillis()));
    }

    private void handle(PeerChannel from, Frame frame) {
        if (frame.getRouting().hasProbe()) {
            RoutingMessage message = RoutingMessage.newBuilder()
                    .setAnswer(answer(frame.getRouting().getProbe()))
                    .build();
            from.reply(frame, Frame.newBuilder().setRouting(message));
        }
    }

    private static int toInt(long value) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, value));
    }
}
