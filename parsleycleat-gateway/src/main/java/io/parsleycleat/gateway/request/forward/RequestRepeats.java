package io.parsleycleat.gateway.request.forward;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.gateway.request.limits.RetryShare;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The repeats that one request takes from the retry budget of a service. Each is reserved when it is decided to send
 * the request again, and counts from its send, before which the request may wait for an upstream.
 *
 * <p>Created by {@link Forwarding} for each request; used on the event loop.
 */
final class RequestRepeats {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ForwardingContext context;
    private final String requestId;
    private Optional<RetryShare.Repeat> reserved = Optional.empty();
    private String reservedService = "";
    private long reservedNanos;

    RequestRepeats(ForwardingContext context, String requestId) {
        this.context = context;
        this.requestId = requestId;
    }

    /** Returns whether a repeat at a service is left. */
    boolean isAvailable(String service) {
        return context.retryShare().hasRepeat(service);
    }

    /** Reserves a repeat at a service for the next send; returns false if none is left. */
    boolean reserve(String service) {
        Optional<RetryShare.Repeat> repeat = reserveNew(service);
        repeat.ifPresent(r -> {
            giveBack();
            reserved = repeat;
            reservedService = service;
            reservedNanos = context.time().monotonicNanos();
        });
        return repeat.isPresent();
    }

    /**
     * Lets the next send go to a service. A repeat reserved at another one is reserved anew; returns false if none
     * is left.
     */
    boolean moveTo(String service) {
        return reserved.isEmpty() || reservedService.equals(service) || reserve(service);
    }

    /** Takes a repeat for a send that is made at once to a service; returns false if none is left. */
    boolean takeForSend(String service) {
        Optional<RetryShare.Repeat> repeat = reserveNew(service);
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

    private Optional<RetryShare.Repeat> reserveNew(String service) {
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
