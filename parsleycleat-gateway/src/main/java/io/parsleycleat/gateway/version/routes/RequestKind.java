package io.parsleycleat.gateway.version.routes;

/** Whether the requests on a route may be run again. */
public enum RequestKind {
    /** The answer is a stream of events. The request may run once, unless streams of the route can be resumed. */
    STREAM,
    /** Idempotent: may run any number of times. */
    IDEMPOTENT,
    /** May run at most once. */
    ONCE
}
