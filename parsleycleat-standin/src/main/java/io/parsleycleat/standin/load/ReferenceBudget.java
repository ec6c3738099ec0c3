package io.parsleycleat.standin.load;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.standin.upstream.EngineTokens;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Replays an account's outcomes against one exact token bucket, to tell refusals of requests that the account as a
 * whole had tokens for.
 *
 * <p>Created for each account of a run; used by one thread.
 */
final class ReferenceBudget {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int TOKENS_PER_CALL = 1;

    private final double perSecond;
    private final double burst;
    private final Map<Integer, Integer> wrongful = new TreeMap<>();
    private double level;
    private double highestAbove;
    private long updatedNanos;

    ReferenceBudget(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.level = burst;
    }

    /** Replays the outcomes, which need no order, and returns this. */
    ReferenceBudget replay(List<Outcome> outcomes) {
        outcomes.stream().sorted(Comparator.comparingLong(Outcome::sentNanos)).forEach(this::replayOne);
        return this;
    }

    /** Returns the refusals of requests that there were tokens for, by result code. */
    Map<Integer, Integer> wrongful() {
        return wrongful;
    }

    /** Returns by how many tokens the admitted ones were at most above what the bucket held. */
    double overshoot() {
        return highestAbove;
    }

    private void replayOne(Outcome outcome) {
        level = Math.min(burst, level + (outcome.sentNanos() - updatedNanos) / NANOS_PER_SECOND * perSecond);
        updatedNanos = outcome.sentNanos();
        boolean notRun =
                ResultCode.ofNumber(outcome.code()).map(ResultCode::isNotRun).orElse(false);
        if (!notRun) {
            level -= cost(outcome.arrival());
            highestAbove = Math.max(highestAbove, -level);
        } else if (level >= cost(outcome.arrival())) {
            wrongful.merge(outcome.code(), 1, Integer::sum);
        }
    }

    /** Returns the tokens that a request may use at most. */
    static int cost(Arrival arrival) {
        return arrival.kind() == Arrival.Kind.COMPLETION
                ? EngineTokens.promptTokens(arrival.prompt()) + arrival.maxTokens()
                : TOKENS_PER_CALL;
    }
}
