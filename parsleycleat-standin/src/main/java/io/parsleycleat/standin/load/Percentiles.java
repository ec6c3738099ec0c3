package io.parsleycleat.standin.load;

import java.util.Collection;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** A distribution of times in milliseconds. Immutable. */
record Percentiles(long count, double mean, double p50, double p95, double p99, double max) {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double P50 = 50;
    private static final double P95 = 95;
    private static final double P99 = 99;

    /** Returns the distribution of nanoseconds. */
    static Percentiles ofNanos(Collection<Long> nanos) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        nanos.forEach(n -> histogram.recordValue(Math.max(0, n)));
        return of(histogram, NANOS_PER_MILLI);
    }

    /** Returns the distribution of milliseconds. */
    static Percentiles ofMillis(Collection<Long> millis) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        millis.forEach(n -> histogram.recordValue(Math.max(0, n)));
        return of(histogram, 1);
    }

    /** Returns the distribution in a histogram of nanoseconds. */
    static Percentiles ofNanos(Histogram histogram) {
        return of(histogram, NANOS_PER_MILLI);
    }

    /** Returns the distribution of the indexes of counts. */
    static Percentiles ofCounts(java.util.List<Long> counts) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        IntStream.range(0, counts.size())
                .filter(i -> counts.get(i) > 0)
                .forEach(i -> histogram.recordValueWithCount(i, counts.get(i)));
        return of(histogram, 1);
    }

    private static Percentiles of(Histogram histogram, double unit) {
        boolean empty = histogram.getTotalCount() == 0;
        return new Percentiles(
                histogram.getTotalCount(),
                empty ? 0 : round(histogram.getMean() / unit),
                round(histogram.getValueAtPercentile(P50) / unit),
                round(histogram.getValueAtPercentile(P95) / unit),
                round(histogram.getValueAtPercentile(P99) / unit),
                round(histogram.getMaxValue() / unit));
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }
}
