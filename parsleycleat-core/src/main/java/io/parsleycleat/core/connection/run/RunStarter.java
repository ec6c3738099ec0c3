package io.parsleycleat.core.connection.run;

import io.parsleycleat.wire.run.RunId;
import io.parsleycleat.wire.run.Start;

/** Starts the runs that entries ask a side for. Called on a connection's event loop, so it must not block. */
@FunctionalInterface
public interface RunStarter {
    /** Starts a run whose answer goes to the given place. */
    void start(RunId id, Start start, RunAnswer answer);
}
