package io.parsleycleat.standin.upstream;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * What a model engine stand-in is and does. Immutable.
 *
 * @param slots adapters that fit at once
 * @param batchSize runs that advance together
 * @param maxWaiting runs that wait for a place in the batch; more are refused
 * @param prefixCacheBlocks prompt blocks that the prefix cache holds
 * @param fencingChecked whether orders with an old fencing number are refused
 * @param reportLag age that a load report may have
 * @param eventLag time after which a cache event shows
 * @param crashMarker text in a request that crashes the engine
 * @param hardCrash whether a crash ends the process
 * @param restartTime time for which a crashed engine takes no connection, unless the process ended
 * @param loadTime time of a load where no weight store is given
 * @param weightStore base of the store that loads are fetched from
 */
public record EngineOptions(
        String baseModel,
        int slots,
        int batchSize,
        int maxWaiting,
        int prefixCacheBlocks,
        EngineTiming timing,
        boolean fencingChecked,
        Duration reportLag,
        Duration eventLag,
        String crashMarker,
        boolean hardCrash,
        Duration restartTime,
        Duration loadTime,
        @Nullable URI weightStore) {
    /** An engine of eight slots with a batch of 16, loads of a fixed time and no lag. */
    public static final EngineOptions DEFAULT = new EngineOptions(
            "base",
            8,
            16,
            256,
            4096,
            EngineTiming.DEFAULT,
            true,
            Duration.ZERO,
            Duration.ZERO,
            "crash-this-engine",
            false,
            Duration.ofMillis(200),
            Duration.ofMillis(250),
            null);

    public EngineOptions {
        Objects.requireNonNull(baseModel, "baseModel");
        Objects.requireNonNull(timing, "timing");
        Objects.requireNonNull(reportLag, "reportLag");
        Objects.requireNonNull(eventLag, "eventLag");
        Objects.requireNonNull(crashMarker, "crashMarker");
        Objects.requireNonNull(restartTime, "restartTime");
        Objects.requireNonNull(loadTime, "loadTime");
        if (slots < 1 || batchSize < 1 || maxWaiting < 1 || prefixCacheBlocks < 1) {
            throw new IllegalArgumentException("slots, batch, queue and cache must be positive");
        }
    }

    /** Returns a copy with another base model. */
    public EngineOptions withBaseModel(String newBaseModel) {
        return copy(newBaseModel, slots, batchSize, timing, fencingChecked, hardCrash);
    }

    /** Returns a copy with another number of slots. */
    public EngineOptions withSlots(int newSlots) {
        return copy(baseModel, newSlots, batchSize, timing, fencingChecked, hardCrash);
    }

    /** Returns a copy with another batch. */
    public EngineOptions withBatchSize(int newBatchSize) {
        return copy(baseModel, slots, newBatchSize, timing, fencingChecked, hardCrash);
    }

    /** Returns a copy with other times. */
    public EngineOptions withTiming(EngineTiming newTiming) {
        return copy(baseModel, slots, batchSize, newTiming, fencingChecked, hardCrash);
    }

    /** Returns a copy that checks fencing numbers or not. */
    public EngineOptions withFencingChecked(boolean newFencingChecked) {
        return copy(baseModel, slots, batchSize, timing, newFencingChecked, hardCrash);
    }

    /** Returns a copy whose process ends at a crash or not. */
    public EngineOptions withHardCrash(boolean newHardCrash) {
        return copy(baseModel, slots, batchSize, timing, fencingChecked, newHardCrash);
    }

    /** Returns a copy with other lags of load reports and cache events. */
    public EngineOptions withLags(Duration newReportLag, Duration newEventLag) {
        return new EngineOptions(
                baseModel,
                slots,
                batchSize,
                maxWaiting,
                prefixCacheBlocks,
                timing,
                fencingChecked,
                newReportLag,
                newEventLag,
                crashMarker,
                hardCrash,
                restartTime,
                loadTime,
                weightStore);
    }

    /** Returns a copy that loads from a store, or in a fixed time where there is none. */
    public EngineOptions withLoads(Duration newLoadTime, @Nullable URI newWeightStore) {
        return new EngineOptions(
                baseModel,
                slots,
                batchSize,
                maxWaiting,
                prefixCacheBlocks,
                timing,
                fencingChecked,
                reportLag,
                eventLag,
                crashMarker,
                hardCrash,
                restartTime,
                newLoadTime,
                newWeightStore);
    }

    private EngineOptions copy(
            String newBaseModel,
            int newSlots,
            int newBatchSize,
            EngineTiming newTiming,
            boolean newFencingChecked,
            boolean newHardCrash) {
        return new EngineOptions(
                newBaseModel,
                newSlots,
                newBatchSize,
                maxWaiting,
                prefixCacheBlocks,
                newTiming,
                newFencingChecked,
                reportLag,
                eventLag,
                crashMarker,
                newHardCrash,
                restartTime,
                loadTime,
                weightStore);
    }
}
