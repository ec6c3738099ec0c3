package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.EngineSpec;
import java.time.Duration;
import java.util.Collection;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.jspecify.annotations.Nullable;

/**
 * Limits the prompt tokens that await prefill on an engine, from its measured prefill rate.
 *
 * <p>Created by {@link EngineGate}, which guards it with its lock.
 */
final class PrefillBudget {
    /** Prompt tokens granted before their prefill; further requests queue here, where they can still be reordered. */
    private static final long MAX_BACKLOG_TOKENS = 10_000;
    /** Prompt tokens that an engine prefills per step at most; a larger backlog does not lengthen its steps. */
    private static final long MAX_STEP_PROMPT_TOKENS = 2_000;

    private static final long MIN_BACKLOG_TOKENS = 1_500;
    /** Duration of an engine step without prefill. */
    private static final Duration STEP_TIME_WITHOUT_PREFILL = Duration.ofMillis(15);

    /** Share of the tightest objective for which prompts of different lengths await prefill on the engine. */
    private static final double MIXED_OBJECTIVE_SHARE = 0.25;
    /** Two pieces in which engines usually prefill, so that the next one is there when one ends. */
    private static final long MIN_MIXED_BACKLOG_TOKENS = 2_048;

    private final PromptOrder promptOrder;
    private final PrefillRate rate = new PrefillRate();
    private @Nullable EngineSpec spec;
    private Duration maxEventGap = Duration.ZERO;

    PrefillBudget(PromptOrder promptOrder) {
        this.promptOrder = promptOrder;
    }

    /** Sets the limits from the configuration; a gap of zero is no limit. */
    void setLimits(EngineSpec newSpec, Duration newMaxEventGap) {
        spec = newSpec;
        maxEventGap = newMaxEventGap;
    }

    /** Records the first event of a run. */
    void onFirstEvent(GrantedRequest run, long nowNanos) {
        rate.onFirstEvent(run.promptTokens, run.grantedNanos, nowNanos);
    }

    double tokensPerSecond() {
        return rate.tokensPerSecond();
    }

    /**
     * Returns whether a prompt may be granted beside the backlog. It may exceed the limit once at most half of the
     * limit is left to prefill, so that the engine does not run empty, but never the general limit, unless nothing
     * awaits prefill. A start without prompt tokens needs no prefill and is only held by the general limit.
     */
    boolean fits(long backlogTokens, long promptTokens, long limit) {
        boolean isHalfFree = promptTokens == 0 || backlogTokens <= limit / 2;
        return backlogTokens == 0
                || backlogTokens + promptTokens <= limit
                || (isHalfFree && backlogTokens + promptTokens <= generalLimit());
    }

    /**
     * Returns the limit of the backlog. If the prompts that wait or run differ in length, it is a share of the tightest
     * objective that waits, since the order on the engine can no longer be changed. Runs past their prefill count too,
     * so that the next short prompt does not arrive behind a full backlog of long ones.
     */
    long limit(Collection<WaitingStart> waiting, Collection<GrantedRequest> runs, long nowNanos) {
        long unmixed = generalLimit();
        boolean isMixedWithRuns = PrefillSchedule.isMix(LongStream.concat(
                waiting.stream().mapToLong(WaitingStart::promptTokens),
                runs.stream().mapToLong(r -> r.promptTokens)));
        OptionalLong tightestMillis = waiting.stream()
                .filter(w -> w.isWithinObjective(nowNanos))
                .mapToLong(w -> w.request().getObjectiveMillis())
                .min();
        if (promptOrder == PromptOrder.BY_URGENCY || !isMixedWithRuns || tightestMillis.isEmpty()) {
            return unmixed;
        }
        long mixed = (long) (MIXED_OBJECTIVE_SHARE * tightestMillis.getAsLong() * tokensPerSecond() / 1_000);
        return Math.min(unmixed, Math.max(MIN_MIXED_BACKLOG_TOKENS, mixed));
    }

    /**
     * Returns the number of prompt tokens that may await prefill on the engine. Each stream event takes several engine
     * steps, and prefill lengthens every one of them. The backlog is limited so that the time between two events stays
     * within its limit.
     */
    private long generalLimit() {
        EngineSpec limits = spec;
        if (limits == null || maxEventGap.isZero()) {
            return MAX_BACKLOG_TOKENS;
        }
        double stepMillis = (double) maxEventGap.toMillis() / Math.max(1, limits.tokensPerEvent())
                - STEP_TIME_WITHOUT_PREFILL.toMillis();
        double tokens = stepMillis * tokensPerSecond() / 1_000;
        return tokens >= MAX_STEP_PROMPT_TOKENS ? MAX_BACKLOG_TOKENS : Math.max(MIN_BACKLOG_TOKENS, (long) tokens);
    }

    /** Returns how long the given prompt tokens take. */
    Duration prefillTime(long tokens) {
        return Duration.ofMillis((long) (1_000 * Math.max(0, tokens) / tokensPerSecond()));
    }
}
