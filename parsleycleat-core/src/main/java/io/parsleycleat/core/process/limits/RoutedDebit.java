package io.parsleycleat.core.process.limits;

import java.util.Objects;
import java.util.function.DoubleConsumer;

/**
 * A debit with the home's decision, and how to give tokens back.
 *
 * <p>Created by {@link DebitRouter}; immutable and safe to share.
 */
record RoutedDebit(double tokens, DebitDecision decision, DoubleConsumer giveBack) {
    RoutedDebit {
        Objects.requireNonNull(decision, "decision");
        Objects.requireNonNull(giveBack, "giveBack");
    }
}
