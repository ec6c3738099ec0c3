package io.parsleycleat.gateway.process.gate;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.request.limits.RequestRate;
import io.parsleycleat.wire.gate.GateStatus;
import io.parsleycleat.wire.gate.StartRequest;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Holds the starts on an engine to the request limit that the engine names.
 *
 * <p>Created by {@link EngineGate} and guarded by its lock.
 */
final class StartLimit {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final RequestRate rate = new RequestRate(1, 1);

    /** Records the limit that an answer names; null for none. */
    void onAnswer(@Nullable RequestLimit named, long startNumber, long now) {
        if (rate.onAnswer(named, startNumber, now)) {
            logger.atInfo().log("starts are held to %s", describe());
        }
    }

    /** Applies the limit that an entry knows of, if it concerns the present start of the engine and is news. */
    void adoptKnown(StartRequest request, @Nullable String engineId, @Nullable EngineReport report, long now) {
        if (request.hasKnownLimit()
                && report != null
                && request.getKnownLimitEngineId().equals(engineId)
                && request.getKnownLimitEngineBorn() == report.startedAtMillis()) {
            rate.adopt(RequestLimit.of(request.getKnownLimit()), now);
        }
    }

    /** Forgets the limit of an earlier start of the engine. */
    void reset() {
        rate.reset();
    }

    /** Starts a request if the limit allows that now, and returns its number. */
    OptionalLong tryStart(long now) {
        long number = rate.tryStart(now);
        return number == 0 ? OptionalLong.empty() : OptionalLong.of(number);
    }

    /** Returns when a refused request may come back. */
    Duration retryAfter(WaitingStart refused, int others, long now) {
        return rate.retryAfter(others, refused.request().getPriority(), now);
    }

    /** Returns the requests whose turn comes later than they can wait for it; those behind them move up. */
    List<WaitingStart> beyondWait(List<WaitingStart> inOrder, long now) {
        return rate.beyondWait(inOrder, w -> w.limitWaitLeft(now), now);
    }

    /** Adds the limit to a status. */
    void describe(GateStatus.Builder status, List<WaitingStart> waiting, long now) {
        rate.limit()
                .ifPresent(l -> status.setRequestLimit(l.requestsPerSecond()).setLimitWaitMillis((int) Math.min(
                        Integer.MAX_VALUE, rate.waitBehind(waiting.size(), now).toMillis())));
    }

    private String describe() {
        return rate.limit()
                .map(l -> l.requestsPerSecond() + " a second, which the engine names")
                .orElse("no limit any more");
    }
}
