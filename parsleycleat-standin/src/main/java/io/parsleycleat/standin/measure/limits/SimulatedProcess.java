package io.parsleycleat.standin.measure.limits;

import io.parsleycleat.core.connection.peer.FrameHandler;
import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * A process that can be frozen and killed: what happens to it while frozen happens when it wakes up.
 *
 * <p>Created by {@link SimulatedFleet} for each start of an entry; used by one thread.
 */
public final class SimulatedProcess implements FrameRouter {
    private final ProcessIdentity identity;
    private final SimulatedTime time;
    private final Map<Frame.BodyCase, FrameHandler> handlers = new EnumMap<>(Frame.BodyCase.class);
    private boolean alive = true;
    private long frozenUntilNanos;

    SimulatedProcess(ProcessIdentity identity, SimulatedTime time) {
        this.identity = identity;
        this.time = time;
        this.frozenUntilNanos = time.monotonicNanos();
    }

    /** Returns who the process is. */
    public ProcessIdentity identity() {
        return identity;
    }

    /** Returns whether the process was not killed. */
    public boolean isAlive() {
        return alive;
    }

    /** Returns whether the process runs. */
    public boolean isRunning() {
        return alive && time.monotonicNanos() >= frozenUntilNanos;
    }

    void kill() {
        alive = false;
    }

    void freeze(Duration duration) {
        frozenUntilNanos = time.monotonicNanos() + duration.toNanos();
    }

    /** Runs an action in the process, as soon as it can; never, once it was killed. */
    void run(Runnable action) {
        if (!alive) {
            return;
        }
        if (isRunning()) {
            action.run();
        } else {
            time.at(frozenUntilNanos, () -> run(action));
        }
    }

    void every(Duration interval, Runnable action) {
        time.after(
                interval,
                () -> run(() -> {
                    action.run();
                    every(interval, action);
                }));
    }

    @Override
    public void register(Frame.BodyCase kind, FrameHandler handler) {
        handlers.put(kind, handler);
    }

    Optional<FrameHandler> handler(Frame.BodyCase kind) {
        return Optional.ofNullable(handlers.get(kind));
    }
}
