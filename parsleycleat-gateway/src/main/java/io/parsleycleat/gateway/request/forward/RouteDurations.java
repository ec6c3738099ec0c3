package io.parsleycleat.gateway.request.forward;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.SlidingWindowReservoir;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.parsleycleat.gateway.version.routes.RequestKind;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * How long requests on each route have recently taken until their whole answer; streams by the number of tokens that
 * they may generate, if their callers count tokens.
 *
 * <p>One per {@link OpenRequests}; safe to share between threads.
 */
final class RouteDurations {
    private static final int SAMPLES_PER_KEY = 128;
    /** With fewer answers, one that is out of the ordinary would decide. */
    private static final int MIN_SAMPLES = 8;
    /** The duration within which this share of the recent requests have ended counts as usual. */
    private static final double USUAL_QUANTILE = 0.95;

    private static final int MAX_KEYS = 4_000;
    /** The size class of requests whose tokens are not counted. */
    private static final int NO_SIZE = -1;
    /** Stands for all routes together; streams of one size take about the same time on each. */
    private static final String ANY_ROUTE = "";

    private final Cache<Key, Reservoir> reservoirs =
            CacheBuilder.newBuilder().maximumSize(MAX_KEYS).build();

    /**
     * Requests that take about the same time.
     *
     * @param sizeClass binary logarithm of the tokens that a stream may generate
     */
    private record Key(String route, int sizeClass) {
        static Key of(RequestForwarder.Admitted admitted) {
            ForwardRequest.TokenCounts tokens = admitted.request().tokens();
            int sizeClass = tokens == null || !isStream(admitted) ? NO_SIZE : log2(tokens.output());
            return new Key(admitted.route().name(), sizeClass);
        }

        Key withSizeClass(int newSizeClass) {
            return new Key(route, newSizeClass);
        }

        Key onAnyRoute() {
            return new Key(ANY_ROUTE, sizeClass);
        }

        private static int log2(int tokens) {
            return Integer.SIZE - 1 - Integer.numberOfLeadingZeros(Math.max(1, tokens));
        }
    }

    /** Records a request that was answered as a whole. */
    void record(RequestForwarder.Admitted admitted, Duration duration) {
        Key key = Key.of(admitted);
        record(key, duration);
        if (key.sizeClass() != NO_SIZE) {
            record(key.onAnyRoute(), duration);
        }
    }

    private void record(Key key, Duration duration) {
        Reservoir known = reservoirs.getIfPresent(key);
        Reservoir reservoir = known == null ? new SlidingWindowReservoir(SAMPLES_PER_KEY) : known;
        reservoir.update(TimeUnit.NANOSECONDS.toMicros(duration.toNanos()));
        if (known == null) {
            reservoirs.put(key, reservoir);
        }
    }

    /**
     * Returns how long such a request usually takes at most, by earlier ones of its size: on its route, else on any
     * route, else by those of the next larger size that is known. Without any, that is its latency objective, or its
     * time limit if it is a stream, whose objective tells nothing about its end.
     */
    Duration usual(RequestForwarder.Admitted admitted) {
        Key key = Key.of(admitted);
        int largest = key.sizeClass() == NO_SIZE ? NO_SIZE : Integer.SIZE;
        return IntStream.rangeClosed(key.sizeClass(), largest)
                .mapToObj(key::withSizeClass)
                .flatMap(k -> Stream.of(k, k.onAnyRoute()))
                .flatMap(k -> Stream.ofNullable(reservoirs.getIfPresent(k)))
                .filter(r -> r.size() >= MIN_SAMPLES)
                .findFirst()
                .map(RouteDurations::usual)
                .orElseGet(() -> isStream(admitted)
                        ? admitted.timeLimit()
                        : admitted.route().latencyObjective());
    }

    private static Duration usual(Reservoir reservoir) {
        return Duration.ofNanos((long)
                (TimeUnit.MICROSECONDS.toNanos(1) * reservoir.getSnapshot().getValue(USUAL_QUANTILE)));
    }

    private static boolean isStream(RequestForwarder.Admitted admitted) {
        return admitted.route().kind() == RequestKind.STREAM;
    }
}
