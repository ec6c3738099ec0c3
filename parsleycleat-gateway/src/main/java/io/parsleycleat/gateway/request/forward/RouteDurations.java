package io.parsleycleat.gateway.request.forward;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.SlidingWindowReservoir;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.parsleycleat.gateway.version.routes.RequestKind;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * How long requests on each route have recently taken until their whole answer; streams per token that they may
 * generate, if their callers count tokens.
 *
 * <p>One per {@link OpenRequests}; safe to share between threads.
 */
final class RouteDurations {
    private static final int SAMPLES_PER_ROUTE = 128;
    /** The duration within which this share of the recent requests have ended counts as usual. */
    private static final double USUAL_QUANTILE = 0.95;

    private static final int MAX_ROUTES = 2_000;

    private final Cache<Key, Reservoir> reservoirs =
            CacheBuilder.newBuilder().maximumSize(MAX_ROUTES).build();

    private record Key(String route, boolean perToken) {}

    /** Records a request that was answered as a whole. */
    void record(RequestForwarder.Admitted admitted, Duration duration) {
        Key key = key(admitted);
        Reservoir known = reservoirs.getIfPresent(key);
        Reservoir reservoir = known == null ? new SlidingWindowReservoir(SAMPLES_PER_ROUTE) : known;
        reservoir.update(TimeUnit.NANOSECONDS.toMicros(duration.toNanos()) / units(admitted));
        if (known == null) {
            reservoirs.put(key, reservoir);
        }
    }

    /**
     * Returns how long such a request usually takes at most. Without an earlier one on its route, that is its latency
     * objective, or its time limit if it is a stream, whose objective tells nothing about its end.
     */
    Duration usual(RequestForwarder.Admitted admitted) {
        Reservoir known = reservoirs.getIfPresent(key(admitted));
        if (known == null) {
            return isStream(admitted) ? admitted.timeLimit() : admitted.route().latencyObjective();
        }
        double microsPerUnit = known.getSnapshot().getValue(USUAL_QUANTILE);
        return Duration.ofNanos((long) (TimeUnit.MICROSECONDS.toNanos(1) * microsPerUnit * units(admitted)));
    }

    private static Key key(RequestForwarder.Admitted admitted) {
        return new Key(
                admitted.route().name(),
                isStream(admitted) && admitted.request().tokens() != null);
    }

    private static long units(RequestForwarder.Admitted admitted) {
        ForwardRequest.TokenCounts tokens = admitted.request().tokens();
        return isStream(admitted) && tokens != null ? Math.max(1, tokens.output()) : 1;
    }

    private static boolean isStream(RequestForwarder.Admitted admitted) {
        return admitted.route().kind() == RequestKind.STREAM;
    }
}
