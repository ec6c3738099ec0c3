package io.parsleycleat.standin.load;

import java.util.Arrays;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/** Draws ranks of a Zipf distribution. Immutable and safe to share. */
final class ZipfSampler {
    private final double[] cumulated;

    ZipfSampler(int count, double exponent) {
        cumulated = IntStream.rangeClosed(1, count)
                .mapToDouble(rank -> 1 / Math.pow(rank, exponent))
                .toArray();
        Arrays.parallelPrefix(cumulated, Double::sum);
    }

    /** Returns a rank from 0 on; low ranks are drawn often. */
    int next(RandomGenerator random) {
        double drawn = random.nextDouble() * cumulated[cumulated.length - 1];
        int found = Arrays.binarySearch(cumulated, drawn);
        return Math.min(cumulated.length - 1, found >= 0 ? found : -found - 1);
    }
}
