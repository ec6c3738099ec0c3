package io.parsleycleat.standin.load;

import java.util.Objects;

/**
 * One request of a run. Immutable.
 *
 * @param atNanos when it is sent, from the start of the run
 * @param adapter empty for requests to the plain service
 * @param maxTokens tokens to generate; 0 for requests to the plain service
 */
record Arrival(int number, long atNanos, Kind kind, AccountPlan account, String adapter, String prompt, int maxTokens) {
    /** The only version of every adapter of a run. */
    static final String VERSION = "1";

    Arrival {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(prompt, "prompt");
    }

    /** What is asked for. */
    enum Kind {
        /** A streamed completion. */
        COMPLETION,
        /** A read from the plain service. */
        READ,
        /** An order that must run at most once. */
        ORDER
    }

    String model() {
        return adapter + "@" + VERSION;
    }
}
