package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts how often adapters are asked for, with a half-life.
 *
 * <p>Created by the {@link SlotLedger} and guarded by the table's lock. It also remembers adapters that are not loaded,
 * the most recent ones up to a bound.
 */
final class AdapterPopularity {
    private static final int MAX_REMEMBERED = 4096;
    private static final float LOAD_FACTOR = 0.75f;

    private record Score(double value, long nanos) {}

    private final double halfLifeNanos;
    private final Map<AdapterVersion, Score> scores = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AdapterVersion, Score> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    AdapterPopularity(Duration halfLife) {
        this.halfLifeNanos = halfLife.toNanos();
    }

    void count(AdapterVersion adapter, long nowNanos) {
        scores.put(adapter, new Score(of(adapter, nowNanos) + 1, nowNanos));
    }

    double of(AdapterVersion adapter, long nowNanos) {
        Score score = scores.get(adapter);
        return score == null ? 0 : score.value() * Math.pow(2, -(nowNanos - score.nanos()) / halfLifeNanos);
    }
}
