package io.parsleycleat.gateway.process.gate;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/**
 * Measures how long short and long prompts wait for their start.
 *
 * <p>Created by {@link GateServer}; thread-safe.
 */
final class StartWaits {
    /** Grants after which the median is looked up again, since that copies and sorts a sample. */
    private static final int MEDIAN_REFRESH_GRANTS = 32;
    /** Grants during which each one looks the median up, since it still changes much. */
    private static final int FIRST_GRANTS = 64;

    private final Histogram promptTokens;
    private final Histogram shortMillis;
    private final Histogram longMillis;
    private double medianTokens;
    private int grantsSinceRefresh;

    StartWaits(MetricRegistry metrics) {
        promptTokens = metrics.histogram("gate.prompt.tokens");
        shortMillis = metrics.histogram("gate.wait.short.millis");
        longMillis = metrics.histogram("gate.wait.long.millis");
    }

    /** Records a grant. A prompt counts as long from twice the median of the recent ones, otherwise as short. */
    synchronized void onGranted(int tokens, long waitMillis) {
        grantsSinceRefresh++;
        if (promptTokens.getCount() < FIRST_GRANTS || grantsSinceRefresh >= MEDIAN_REFRESH_GRANTS) {
            medianTokens = promptTokens.getSnapshot().getMedian();
            grantsSinceRefresh = 0;
        }
        boolean isLong = medianTokens > 0 && tokens >= PrefillSchedule.LENGTH_RATIO * medianTokens;
        (isLong ? longMillis : shortMillis).update(waitMillis);
        if (tokens > 0) {
            promptTokens.update(tokens);
        }
    }
}
