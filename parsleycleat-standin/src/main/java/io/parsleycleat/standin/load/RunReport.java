package io.parsleycleat.standin.load;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The figures of one run of the load tool; times are in milliseconds. Immutable.
 *
 * <p>Created by {@link RunAnalysis} and written as JSON and HTML.
 */
record RunReport(
        Setup setup,
        Totals totals,
        Latency latency,
        Loads loads,
        Batch batch,
        Fairness fairness,
        List<AccountFigures> accounts,
        Daemons daemons,
        Checks checks) {
    RunReport {
        Objects.requireNonNull(setup, "setup");
        accounts = List.copyOf(accounts);
    }

    /** What was run, and on what machine. */
    record Setup(
            String deployment,
            long seed,
            String routingPolicy,
            String queuePolicy,
            int entries,
            int engines,
            int services,
            int adapters,
            int slots,
            int batchSize,
            int warmUpSeconds,
            int seconds,
            double requestsPerSecond,
            double zipfExponent,
            int shiftSeconds,
            int shiftRanks,
            int cores,
            long memoryMegabytes,
            String java) {}

    /** What became of the requests after the warm-up; refusals by result code. */
    record Totals(
            int requests,
            int completions,
            int done,
            Map<String, Integer> refusedNotRun,
            Map<String, Integer> failedMayHaveRun,
            double generatedTokensPerSecond) {}

    /**
     * Times that callers saw.
     *
     * @param beforeEngine from the caller's send to the engine's receipt, of requests that waited for no load
     * @param inEngine from the engine's receipt to the caller's first token
     * @param directReads reads of the plain service without the system in between
     * @param sendDelay how late the load tool itself sent its requests
     */
    record Latency(
            Percentiles firstToken,
            Percentiles firstTokenFree,
            Percentiles betweenTokens,
            Percentiles beforeEngine,
            Percentiles inEngine,
            Percentiles reads,
            Percentiles directReads,
            Percentiles orders,
            Percentiles sendDelay) {}

    /**
     * Loads of adapters.
     *
     * @param stalled completions that waited until their adapter was loaded
     * @param stallTime how long they waited
     * @param runsRefusedByEngine runs that an engine refused, since their adapter was not loaded or too many waited
     */
    record Loads(
            int stalled,
            double stalledShare,
            Percentiles stallTime,
            double loadsPerSecond,
            int loadFailures,
            int runsRefusedByEngine) {}

    /** How full the engines' batches were, in runs and in distinct adapters a step. */
    record Batch(
            Percentiles fill,
            double fillShare,
            Percentiles distinctAdapters,
            double cachedPromptShare,
            List<Long> fillCounts) {}

    /** The account that was served worst, measured by its fair part, and all wrongful refusals. */
    record Fairness(
            String worstAccount,
            double worstServedOfFairPart,
            String slowestAccount,
            double slowestFirstTokenP95,
            int wrongfulRefusals,
            double wrongfulShare) {}

    /**
     * What one account asked for and got, in tokens after the warm-up.
     *
     * @param allowed what its rate and burst allow in the time
     * @param fairPart its part of all that was served under max-min fairness
     * @param overshoot tokens admitted above an exact bucket's content, at most
     */
    record AccountFigures(
            String id,
            int requests,
            int done,
            double asked,
            double allowed,
            double served,
            double fairPart,
            Percentiles firstToken,
            Map<String, Integer> wrongfulRefusals,
            double overshoot) {}

    /** Processor time of the daemons. */
    record Daemons(
            double entryCpuMillisPerRequest,
            double sideCpuMillisPerRequest,
            double coresPerEntry,
            double coresPerSide) {}

    /** Things that must be 0. */
    record Checks(
            int wrongAnswers,
            int brokenAnswers,
            int engineViolations,
            int keysSeenByUpstreams,
            int doubledOrders,
            int lostOrders,
            int notRunButRun) {}
}
