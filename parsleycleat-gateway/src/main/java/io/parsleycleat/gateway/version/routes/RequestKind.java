package io.parsleycleat.gateway.version.routes;

/** What may be repeated of the requests on a route. */
public enum RequestKind {
    /** The answer is a stream of events; it may run once, unless the route's streams can be resumed. */
    STREAM,
    /** Idempotent: may run any number of times. */
    IDEMPOTENT,
    /** May run at most once. */
    ONCE
}
