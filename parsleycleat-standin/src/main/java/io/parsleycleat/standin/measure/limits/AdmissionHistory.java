package io.parsleycleat.standin.measure.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * What one account was granted and refused, compared with a single bucket that was charged the same.
 *
 * <p>Created for each account of a simulation and used by one thread.
 */
public final class AdmissionHistory {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double ROUNDING = 1e-3;

    private record Event(long atNanos, double tokens, boolean granted) {}

    /**
     * The outcome of an account.
     *
     * @param wrongful refusals although a single bucket would have had the tokens
     * @param overshoot the most by which any window exceeded burst and rate
     */
    public record Summary(int granted, int refused, int wrongful, double overshoot, double grantedTokens) {}

    private final double rate;
    private final double burst;
    private final List<Event> events = new ArrayList<>();

    /** Creates an empty history of an account that starts with its full burst. */
    public AdmissionHistory(double rate, double burst) {
        this.rate = rate;
        this.burst = burst;
    }

    /** Notes tokens that a home took at a time. */
    public void granted(long atNanos, double tokens) {
        events.add(new Event(atNanos, tokens, true));
    }

    /** Notes a refusal. */
    public void refused(long atNanos, double tokens) {
        events.add(new Event(atNanos, tokens, false));
    }

    /** Counts what happened from a time on; earlier grants still charge the bucket. */
    public Summary summary(long fromNanos) {
        List<Event> ordered =
                events.stream().sorted(Comparator.comparingLong(Event::atNanos)).toList();
        double level = burst;
        double overshoot = 0;
        double tokens = 0;
        int granted = 0;
        int refused = 0;
        int wrongful = 0;
        long last = Long.MIN_VALUE;
        for (Event event : ordered) {
            double minted = last == Long.MIN_VALUE ? 0 : rate * (event.atNanos() - last) / NANOS_PER_SECOND;
            level = Math.min(burst, level + minted);
            last = event.atNanos();
            boolean counted = event.atNanos() >= fromNanos;
            if (event.granted()) {
                level -= event.tokens();
                overshoot = Math.max(overshoot, -level - ROUNDING);
                granted += counted ? 1 : 0;
                tokens += counted ? event.tokens() : 0;
            } else if (counted) {
                refused++;
                wrongful += level >= event.tokens() ? 1 : 0;
            }
        }
        return new Summary(granted, refused, wrongful, overshoot, tokens);
    }
}
