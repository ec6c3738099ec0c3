package io.parsleycleat.core.process.slots;

import java.util.concurrent.CompletableFuture;

/** A pin that waits for a load. Created by the table for each call. */
record Waiter(PinRequest request, CompletableFuture<Pin> future, long sinceNanos) {
    boolean isFree() {
        return request.priority() == LoadPriority.FREE;
    }

    boolean isGone() {
        return future.isDone();
    }
}
