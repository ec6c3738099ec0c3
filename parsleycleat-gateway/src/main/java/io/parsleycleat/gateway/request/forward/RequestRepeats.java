package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.gateway.request.limits.RetryShare;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The repeats that one request takes from the retry budget of its service. Each is reserved when it is decided to send
 * the request again, and counts from its send, before which the request may wait for an upstream.
 *
 * <p>Created by {@link Forwarding} for each request; used on the event loop.
 */
final class RequestRepeats {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ForwardingContext context;
    private final String requestId;
    private final String service;
    private Optional<RetryShare.Repeat> reserved = Optional.empty();
    private long reservedNanos;

    RequestRepeats(ForwardingContext context, String requestId, String service) {
        this.context = context;
        this.requestId = requestId;
        this.service = service;
    }

    /** Returns whether a repeat is left. */
    boolean isAvailable() {
        return context.retryShare().hasRepeat(service);
    }

    /** Reserves a repeat for the next send; returns false if none is left. */
    boolean reserve() {
        Optional<RetryShare.Repeat> repeat = reserveNew();
        repeat.ifPresent(r -> {
            giveBack();
            reserved = repeat;
            reservedNanos = context.time().monotonicNanos();
        });
        return repeat.isPresent();
    }

    /** Takes a repeat for a send that is made at once; returns false if none is left. */
    boolean takeForSend() {
        Optional<RetryShare.Repeat> repeat = reserveNew();
        repeat.ifPresent(RetryShare.Repeat::onSent);
        return repeat.isPresent();
    }

    /** Counts the reserved repeat, if there is one, since the request is sent now. */
    void onSend() {
        reserved.ifPresent(r -> {
            r.onSent();
            context.metrics()
                    .onRepeatSent(TimeUnit.NANOSECONDS.toMillis(context.time().monotonicNanos() - reservedNanos));
        });
        reserved = Optional.empty();
    }

    /** Returns the reserved repeat, if there is one, since the request is not sent again. */
    void giveBack() {
        reserved.ifPresent(RetryShare.Repeat::release);
        reserved = Optional.empty();
    }

    private Optional<RetryShare.Repeat> reserveNew() {
        Optional<RetryShare.Repeat> repeat = context.retryShare().tryReserve(service);
        context.metrics().onRepeatDecided(repeat.isPresent());
        if (repeat.isEmpty()) {
            logger.atInfo()
                    .with(LogKeys.REQUEST, requestId)
                    .log(
                            "no repeat left in the share of %s: %s",
                            service, context.retryShare().describe(service));
        }
        return repeat;
    }
}
