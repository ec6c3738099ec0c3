package io.parsleycleat.core.connection.caller;

/** Events that a connection's pipeline gets from outside; its event loop decides what they mean by then. */
enum ConnectionEvent {
    /** Close the connection if it carries no request, else after the answer. */
    CLOSE_WHEN_UNUSED,
    /** Read no more: answer what was read as a whole, refuse what was read in part, and close. */
    END_READING
}
