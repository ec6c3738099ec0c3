package io.parsleycleat.gateway.process.gate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LoadConcurrencyLimitTest {
    private static final double UNCONTENDED_LOAD_MILLIS = 250;

    private LoadConcurrencyLimit loadLimit;
    private long nowMillis;

    @BeforeMethod
    public void setUp() {
        loadLimit = new LoadConcurrencyLimit();
        nowMillis = 1_000;
    }

    private void recordLoad(long millis) {
        long from = nowMillis;
        nowMillis += millis;
        loadLimit.onLoadCompleted(TimeUnit.MILLISECONDS.toNanos(from), TimeUnit.MILLISECONDS.toNanos(nowMillis));
    }

    @Test
    public void fastLoadsRaiseLimit() {
        IntStream.range(0, 10).forEach(i -> recordLoad(250));
        assertEquals(loadLimit.maxConcurrentLoads(), 4);
        assertEquals(loadLimit.expectedLoadTime(0).toMillis(), 251, 10);
        assertEquals(loadLimit.expectedLoadTime(4).toMillis(), 502, 20);
    }

    @Test
    public void slowLoadsLowerLimitToAtLeastOne() {
        IntStream.range(0, 10).forEach(i -> recordLoad(250));
        IntStream.range(0, 10).forEach(i -> recordLoad(800));
        assertEquals(loadLimit.maxConcurrentLoads(), 1);
        IntStream.range(0, 10).forEach(i -> recordLoad(255));
        assertEquals(loadLimit.maxConcurrentLoads(), 4);
    }

    /**
     * All engines have lost their adapters, and each loads twenty from a store that serves sixteen loads at full speed.
     * A fixed limit of four loads per engine would delay the first ones.
     */
    @Test
    public void adaptiveLimitLoadsFirstAdaptersSoonerThanFixedLimitAfterLossOfAllAdapters() {
        List<Double> adaptive = simulateLoads(13, 20, true);
        List<Double> fixed = simulateLoads(13, 20, false);
        assertTrue(
                mean(adaptive) <= mean(fixed), mean(adaptive) + " ms mean end time, with a fixed limit " + mean(fixed));
        double first = mean(adaptive.subList(0, 52));
        assertTrue(first < 0.8 * mean(fixed.subList(0, 52)), "mean end time of the first loads in ms: " + first);
        assertTrue(
                last(adaptive) <= 1.1 * last(fixed),
                last(adaptive) + " ms last end time, with a fixed limit " + last(fixed));
    }

    private static double mean(List<Double> times) {
        return times.stream().mapToDouble(t -> t).average().orElse(0);
    }

    private static double last(List<Double> times) {
        return times.get(times.size() - 1);
    }

    /** Returns the end times of all loads, for a store that slows down in proportion beyond sixteen loads. */
    private static List<Double> simulateLoads(int engines, int adapters, boolean adaptive) {
        List<LoadConcurrencyLimit> engineLimits = new ArrayList<>();
        List<Deque<double[]>> running = new ArrayList<>();
        int[] remainingLoads = new int[engines];
        IntStream.range(0, engines).forEach(e -> {
            engineLimits.add(new LoadConcurrencyLimit());
            running.add(new ArrayDeque<>());
            remainingLoads[e] = adapters;
        });
        List<Double> ends = new ArrayList<>();
        double step = 5;
        for (double now = 0; ends.size() < engines * adapters; now += step) {
            for (int e = 0; e < engines; e++) {
                int limit = adaptive ? engineLimits.get(e).maxConcurrentLoads() : 4;
                while (remainingLoads[e] > 0 && running.get(e).size() < limit) {
                    remainingLoads[e]--;
                    running.get(e).add(new double[] {now, UNCONTENDED_LOAD_MILLIS});
                }
            }
            int total = running.stream().mapToInt(Deque::size).sum();
            double work = step / Math.max(1, total / 16.0);
            for (int e = 0; e < engines; e++) {
                running.get(e).forEach(l -> l[1] -= work);
                double end = now + step;
                LoadConcurrencyLimit engineLimit = engineLimits.get(e);
                running.get(e).stream().filter(l -> l[1] <= 0).forEach(l -> {
                    ends.add(end);
                    engineLimit.onLoadCompleted((long) (l[0] * 1e6), (long) (end * 1e6));
                });
                running.get(e).removeIf(l -> l[1] <= 0);
            }
        }
        return ends;
    }
}
