package io.parsleycleat.core.process.limits;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.parsleycleat.core.process.membership.EpochKeeper;
import io.parsleycleat.core.process.result.ResultCode;
import java.util.Locale;

/**
 * The metrics of the escrow.
 *
 * <p>Created by {@link EscrowLimiter}; safe to share between threads.
 */
final class EscrowMetrics {
    private static final String PREFIX = "limits.";

    private final MetricRegistry registry;

    EscrowMetrics(MetricRegistry registry, HomeAccounts homes, EpochKeeper keeper, EscrowPeers peers) {
        this.registry = registry;
        registry.gauge(PREFIX + "epoch", () -> (Gauge<Long>) keeper::current);
        registry.gauge(PREFIX + "standing", () -> (Gauge<Integer>) () -> keeper.isStanding() ? 1 : 0);
        registry.gauge(PREFIX + "parts.held", () -> (Gauge<Integer>) homes::heldParts);
        registry.gauge(PREFIX + "parts.awaited", () -> (Gauge<Integer>) homes::awaitedParts);
        registry.gauge(PREFIX + "messages.sent", () -> (Gauge<Long>) peers::sent);
    }

    void granted(double tokens) {
        registry.counter(PREFIX + "granted").inc();
        registry.meter(PREFIX + "tokens.reserved").mark(Math.round(tokens));
    }

    void refused(ResultCode code) {
        registry.counter(PREFIX + "refused." + code.name().toLowerCase(Locale.ROOT))
                .inc();
    }
}
