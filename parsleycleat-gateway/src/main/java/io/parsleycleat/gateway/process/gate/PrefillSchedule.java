package io.parsleycleat.gateway.process.gate;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.jspecify.annotations.Nullable;

/**
 * Orders the waiting starts of an engine so that long prompts and short ones meet their objectives side by side.
 *
 * <p>Starts within their objective come first, by priority and then by due time. If not all of one priority can be in
 * time, the longest go behind the others of their priority (Moore-Hodgson), which keeps the most in time. Of those that
 * are late the shortest come first, and the first to arrive of the most urgent late priority gets a share of the
 * prefill. Prompts of about equal length are only ordered by due time.
 *
 * <p>Created by {@link EngineGate}, which guards it with its lock.
 */
final class PrefillSchedule {
    /** Share of the prompt tokens granted at its priority or less urgent ones that the first late start gets. */
    static final double LATE_SHARE = 0.2;
    /** Prompts whose lengths differ by less than this factor are of about equal length. */
    static final int LENGTH_RATIO = 2;

    private static final double CREDIT_PER_TOKEN = LATE_SHARE / (1 - LATE_SHARE);
    private static final Comparator<WaitingStart> BY_PRIORITY =
            Comparator.comparingInt(w -> w.request().getPriority());
    private static final Comparator<WaitingStart> BY_DUE_TIME =
            Comparator.comparingLong(WaitingStart::dueNanos).thenComparingLong(WaitingStart::arrivalNanos);

    private final PromptOrder promptOrder;
    /** By priority, the tokens that its first late start has earned; it is promoted once they cover its prompt. */
    private final Map<Integer, Double> lateCreditTokens = new HashMap<>();

    PrefillSchedule(PromptOrder promptOrder) {
        this.promptOrder = promptOrder;
    }

    /**
     * The waiting starts in the order in which to grant them.
     *
     * @param isMixed whether long prompts wait beside short ones
     * @param firstLate of the starts that cannot be in time, the first to arrive of the most urgent priority; null if
     *     there is none
     */
    record Plan(List<WaitingStart> order, boolean isMixed, @Nullable WaitingStart firstLate) {
        /** Returns the prompt tokens that are granted before a start. */
        long tokensBefore(WaitingStart start) {
            return order.stream()
                    .takeWhile(w -> !w.isSame(start))
                    .mapToLong(WaitingStart::promptTokens)
                    .sum();
        }
    }

    /** Returns whether the lengths of prompts decide. */
    boolean isByLength() {
        return promptOrder == PromptOrder.BY_LENGTH;
    }

    /** Returns the prompt tokens that are granted before a start, which may be one of those that wait. */
    long tokensAhead(
            WaitingStart start,
            Collection<WaitingStart> waiting,
            long backlogTokens,
            double tokensPerSecond,
            long nowNanos) {
        if (!isByLength()) {
            return WaitingStart.totalPromptTokens(waiting.stream()
                    .filter(w -> BY_PRIORITY.compare(w, start) <= 0)
                    .toList());
        }
        List<WaitingStart> all = new ArrayList<>(waiting);
        all.removeIf(w -> w.isSame(start));
        all.add(start);
        return plan(all, backlogTokens, tokensPerSecond, nowNanos).tokensBefore(start);
    }

    /** Returns whether long prompts are among others; empty ones don't count. */
    static boolean isMix(LongStream promptTokens) {
        LongSummaryStatistics lengths = promptTokens.filter(t -> t > 0).summaryStatistics();
        return lengths.getCount() > 1 && lengths.getMax() >= LENGTH_RATIO * lengths.getMin();
    }

    /**
     * Plans the grants.
     *
     * @param backlogTokens the prompt tokens that were granted and await prefill
     */
    Plan plan(Collection<WaitingStart> waiting, long backlogTokens, double tokensPerSecond, long nowNanos) {
        if (!isByLength()) {
            Comparator<WaitingStart> byUrgency = WaitingStart.byUrgency(nowNanos);
            return new Plan(waiting.stream().sorted(byUrgency).toList(), false, null);
        }
        boolean isMixed = isMix(waiting.stream().mapToLong(WaitingStart::promptTokens));
        List<WaitingStart> within =
                waiting.stream().filter(w -> w.isWithinObjective(nowNanos)).toList();
        Set<WaitingStart> inTime = Collections.newSetFromMap(new IdentityHashMap<>());
        inTime.addAll(isMixed ? inTime(within, backlogTokens, tokensPerSecond, nowNanos) : within);
        WaitingStart firstLate = waiting.stream()
                .filter(w -> !inTime.contains(w))
                .min(BY_PRIORITY.thenComparingLong(WaitingStart::arrivalNanos))
                .orElse(null);
        WaitingStart promoted =
                isMixed && firstLate != null && creditOf(firstLate) >= firstLate.promptTokens() ? firstLate : null;
        long shortest = waiting.stream()
                .mapToLong(WaitingStart::promptTokens)
                .filter(t -> t > 0)
                .min()
                .orElse(1);
        Comparator<WaitingStart> byTurn = Comparator.comparing(
                        (WaitingStart w) -> !w.isSame(promoted) && !w.isWithinObjective(nowNanos))
                .thenComparing(BY_PRIORITY)
                .thenComparing(w -> !w.isSame(promoted))
                .thenComparing(w -> !inTime.contains(w))
                .thenComparingLong(w -> inTime.contains(w) ? w.dueNanos() : lengthClass(w, shortest))
                .thenComparingLong(WaitingStart::arrivalNanos);
        return new Plan(waiting.stream().sorted(byTurn).toList(), isMixed, firstLate);
    }

    /** Records a grant. Unless it is of a more urgent priority, the first late start earns a share of its tokens. */
    void onGranted(WaitingStart granted, Plan plan) {
        WaitingStart first = plan.firstLate();
        if (first == null) {
            lateCreditTokens.clear();
        } else if (granted.isSame(first)) {
            lateCreditTokens.remove(first.request().getPriority());
        } else if (BY_PRIORITY.compare(granted, first) >= 0) {
            double credit = creditOf(first) + CREDIT_PER_TOKEN * granted.promptTokens();
            lateCreditTokens.put(first.request().getPriority(), Math.min((double) first.promptTokens(), credit));
        }
    }

    private double creditOf(WaitingStart late) {
        return lateCreditTokens.getOrDefault(late.request().getPriority(), 0.0);
    }

    /** Returns the starts that can be in time, if each waits for all those of more urgent priorities. */
    private static List<WaitingStart> inTime(
            List<WaitingStart> within, long backlogTokens, double tokensPerSecond, long nowNanos) {
        double nanosPerToken = TimeUnit.SECONDS.toNanos(1) / tokensPerSecond;
        List<WaitingStart> inTime = new ArrayList<>();
        long ahead = backlogTokens;
        TreeMap<Integer, List<WaitingStart>> byPriority = within.stream()
                .sorted(BY_DUE_TIME)
                .collect(Collectors.groupingBy(w -> w.request().getPriority(), TreeMap::new, Collectors.toList()));
        for (List<WaitingStart> group : byPriority.values()) {
            inTime.addAll(inTimeOfOnePriority(group, nowNanos + ahead * nanosPerToken, nanosPerToken));
            ahead += WaitingStart.totalPromptTokens(group);
        }
        return inTime;
    }

    /** Returns as many starts as can be in time: if one would be late, the longest of it and those before it leaves. */
    private static Collection<WaitingStart> inTimeOfOnePriority(
            List<WaitingStart> byDueTime, double startNanos, double nanosPerToken) {
        PriorityQueue<WaitingStart> longestFirst = new PriorityQueue<>(
                Comparator.comparingLong(WaitingStart::promptTokens).reversed().thenComparing(BY_DUE_TIME.reversed()));
        double end = startNanos;
        for (WaitingStart next : byDueTime) {
            longestFirst.add(next);
            end += next.promptTokens() * nanosPerToken;
            if (end > next.dueNanos()) {
                end -= longestFirst.remove().promptTokens() * nanosPerToken;
            }
        }
        return longestFirst;
    }

    /** Returns how often the shortest prompt can be multiplied by the length ratio without exceeding this one. */
    private static int lengthClass(WaitingStart start, long shortest) {
        double ratio = Math.max(1, start.promptTokens() / (double) shortest);
        return (int) (Math.log(ratio) / Math.log(LENGTH_RATIO));
    }
}
