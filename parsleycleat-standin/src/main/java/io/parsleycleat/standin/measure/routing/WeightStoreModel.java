package io.parsleycleat.standin.measure.routing;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.slots.LoadGate;
import io.parsleycleat.core.process.slots.LoadPriority;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/** The weight store with its rate, shared by all sides. Created for each run; used by one thread. */
final class WeightStoreModel implements LoadGate {
    private static final double LOAD_MILLIS = 250;
    private static final int FULL_SPEED_TRANSITS = 8;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Map<LoadPriority, Deque<CompletableFuture<Either<Refusal, Runnable>>>> waiting =
            new EnumMap<>(LoadPriority.class);
    private double burst;
    private int inTransit;

    WeightStoreModel(VirtualTime time, double loadsPerSecond) {
        Arrays.stream(LoadPriority.values()).forEach(p -> waiting.put(p, new ArrayDeque<>()));
        time.every(MILLIS_PER_SECOND / loadsPerSecond, () -> {
            burst = Math.min(2, burst + 1);
            permitNext();
        });
    }

    @Override
    public CompletableFuture<Either<Refusal, Runnable>> acquire(LoadPriority priority) {
        CompletableFuture<Either<Refusal, Runnable>> permit = new CompletableFuture<>();
        Objects.requireNonNull(waiting.get(priority)).add(permit);
        permitNext();
        return permit;
    }

    /** Returns how long a load takes that starts now. */
    double loadMillis() {
        return LOAD_MILLIS * Math.max(1, (double) inTransit / FULL_SPEED_TRANSITS);
    }

    private void permitNext() {
        while (burst >= 1) {
            Deque<CompletableFuture<Either<Refusal, Runnable>>> next = waiting.values().stream()
                    .filter(d -> !d.isEmpty())
                    .findFirst()
                    .orElse(null);
            if (next == null) {
                return;
            }
            burst--;
            inTransit++;
            next.remove().complete(Either.right(() -> inTransit--));
        }
    }
}
