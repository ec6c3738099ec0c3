package io.parsleycleat.core.process.side;

import io.parsleycleat.core.connection.run.RunStarter;
import io.parsleycleat.core.request.routing.ProbeResponder;

/**
 * What a side does for one kind of upstream.
 *
 * <p>Created once by {@link SideProcess}; safe to share between threads.
 */
interface UpstreamWork {
    /** Returns what starts the runs that arrive. */
    RunStarter executor();

    /** Adds to a responder what probes ask about this upstream. */
    ProbeResponder describe(ProbeResponder responder);

    /** Starts to watch the upstream. */
    void start();

    /** Stops after the last run. */
    void stop();

    /** Returns whether the upstream can be used now. */
    boolean isUsable();
}
