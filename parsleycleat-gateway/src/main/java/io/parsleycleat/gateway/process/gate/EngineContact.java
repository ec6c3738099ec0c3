package io.parsleycleat.gateway.process.gate;

/** What a side knows of its engine from the last reports that it asked for. */
enum EngineContact {
    /** The engine answers. */
    ANSWERS,
    /** The engine answered a short while ago and does not now. It may be sound and go on. */
    SILENT,
    /** The engine refuses connections, has been silent for long, or has never answered. */
    LOST;

    /** Returns whether a request may wait for its start. At a silent engine it may if no other one takes it in time. */
    boolean mayAwait(WaitingStart start) {
        return switch (this) {
            case ANSWERS -> true;
            case SILENT -> start.hasNoOtherEngine();
            case LOST -> false;
        };
    }
}
