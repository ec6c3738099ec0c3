package io.parsleycleat.core.request.outcome;

import io.parsleycleat.core.process.result.Refusal;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Settles, once for each attempt, whether it runs or is given up.
 *
 * <p>Whoever is about to hand the first byte to the upstream calls {@link #tryStart}; whoever wants to end the attempt
 * calls {@link #giveUp}. Only one of the two succeeds, so a refusal that says "not run" stays true.
 *
 * <p>Created for each attempt; safe to share between threads.
 */
public final class PointOfNoReturn {
    private enum State {
        OPEN,
        STARTED,
        GIVEN_UP
    }

    private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);

    /** Passes the point of no return. Returns false when the attempt was given up or started before. */
    public boolean tryStart() {
        return state.compareAndSet(State.OPEN, State.STARTED);
    }

    /** Gives the attempt up, if it has not started, and returns the refusal that is true of it from now on. */
    public Refusal giveUp(Refusal cause) {
        state.compareAndSet(State.OPEN, State.GIVEN_UP);
        return phase().classify(cause);
    }

    /** Returns how far the attempt has come. An attempt that is still open counts as started, since it may yet be. */
    public RunPhase phase() {
        return state.get() == State.GIVEN_UP ? RunPhase.NOT_STARTED : RunPhase.STARTED;
    }

    /** Returns whether the attempt started. */
    public boolean isStarted() {
        return state.get() == State.STARTED;
    }
}
