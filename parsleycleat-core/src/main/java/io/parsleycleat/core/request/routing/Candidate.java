package io.parsleycleat.core.request.routing;

import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.wire.routing.ProbeAnswer;
import io.parsleycleat.wire.routing.SlotState;

/**
 * A side that answered a probe and would take the request.
 *
 * <p>Created by the selector for each answer; immutable.
 *
 * @param rank place in the order of candidates, from 0
 * @param sentSince requests that this entry sent to the side since it sent the probe
 */
record Candidate(Vm vm, int rank, ProbeAnswer answer, long sentSince) {
    private static final double RANK_MILLIS = 50;

    /** Returns how long the request would wait for its turn, counting what was sent since the probe. */
    long waitMillis() {
        long beyond = Math.max(0, sentSince - answer.getFreePlaces());
        return answer.getExpectedWaitMillis() + beyond * answer.getWaitPerRunMillis();
    }

    boolean isLoaded() {
        return answer.getAdapter() == SlotState.SLOT_STATE_LOADED;
    }

    boolean isAbsent() {
        return answer.getAdapter() == SlotState.SLOT_STATE_ABSENT;
    }

    /**
     * Returns what the request would cost there. A load costs more than its time, as others wait for loads, too; where
     * it falls is decided by the rank, so that entries which choose at the same time choose alike.
     */
    double cost(RoutingSettings settings) {
        double load = isAbsent()
                ? answer.getExpectedLoadMillis() * settings.loadWeight() + rank * RANK_MILLIS
                : answer.getExpectedLoadMillis();
        double sharing = (answer.getRunning() + sentSince) * settings.runningMillis();
        double prefix = answer.getPrefixCached() ? settings.prefixMillis() : 0;
        return waitMillis() + load + sharing - prefix;
    }

    /** Returns the load of the side alone: its wait, and among idle sides what it runs. */
    double load() {
        return waitMillis() + (answer.getRunning() + sentSince) / (answer.getRunning() + sentSince + 1.0);
    }

    /** Returns how long the request would wait before it runs. */
    long startMillis() {
        return Math.max(waitMillis(), answer.getExpectedLoadMillis());
    }

    String describe() {
        String slot =
                switch (answer.getAdapter()) {
                    case SLOT_STATE_LOADED -> "loaded";
                    case SLOT_STATE_LOADING -> "loading";
                    default -> "not loaded";
                };
        return vm.upstreamId() + " (" + slot + ", wait " + waitMillis() + " ms, load " + answer.getExpectedLoadMillis()
                + " ms, running " + answer.getRunning() + ")";
    }
}
