package io.parsleycleat.gateway.request.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One account's budget over the whole fleet, as one entry keeps it.
 *
 * <p>Each entry keeps a replica of the whole budget: it takes off what it admits itself and what the others report. The
 * part of the rate that belongs to entries that are not heard is not added, because they may be spending it. A new
 * replica starts with a small part of the burst, which its entry's own part of the rate would have brought meanwhile.
 *
 * <p>Created by {@link AccountBudgets} under whose lock it is used.
 */
final class AccountBudget {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Time between two reports of another entry. */
    private static final long REPORT_MILLIS = 100;
    /** Time in which an entry that has just started, or was cut, mostly learns its part of the rates. */
    private static final long PART_UNKNOWN_MILLIS = 250;

    private final Map<String, Double> reported = new HashMap<>();
    private double ratePerSecond;
    private double burst;
    private double level;
    private double spent;
    private double spentSinceReport;
    private long filledNanos;

    AccountBudget(double ratePerSecond, double burst, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.filledNanos = nowNanos;
    }

    void setLimit(double newRate, double newBurst) {
        ratePerSecond = newRate;
        burst = newBurst;
        level = Math.min(level, newBurst);
    }

    /** Adds a part of the burst once, at the start. */
    void begin(double part) {
        level = Math.min(burst, level + burst * part);
    }

    /** Adds what the passed time brings, in the part that this entry may count on. */
    void fill(long nowNanos, double part) {
        double seconds = Math.max(0, (nowNanos - filledNanos) / NANOS_PER_SECOND);
        filledNanos = nowNanos;
        level = Math.min(burst, level + seconds * ratePerSecond * part);
    }

    /**
     * Takes a cost if it is there, leaving room for what heard entries may be spending at the same time.
     *
     * @param tolerance what all entries together may spend too much between two reports
     */
    boolean trySpend(double cost, int heardOthers, double tolerance) {
        double left = level - Math.max(0, spentSinceReport * heardOthers - tolerance);
        if (left < Math.min(cost, burst)) {
            return false;
        }
        level -= cost;
        spent += cost;
        spentSinceReport += cost;
        return true;
    }

    void giveBack(double cost) {
        level = Math.min(burst, level + cost);
        spent -= cost;
        spentSinceReport = Math.max(0, spentSinceReport - cost);
    }

    /** Returns when a cost will be there at the earliest, not before the others have reported once more. */
    Duration timeUntil(double cost, double part) {
        double missing = Math.max(0, Math.min(cost, burst) - level);
        double perSecond = ratePerSecond * part;
        long millis = perSecond > 0 ? (long) (1_000 * missing / perSecond) : PART_UNKNOWN_MILLIS;
        return Duration.ofMillis(Math.max(REPORT_MILLIS, millis));
    }

    /** Takes another entry's total; what it spent since its last report is taken off. */
    void onReport(String entry, double total) {
        Double before = reported.put(entry, total);
        if (before != null) {
            level -= total - before;
        }
    }

    /** Forgets an entry's total, so that what it spent while it was silent, from its own part, is not taken off. */
    void forget(String entry) {
        reported.remove(entry);
    }

    /** Returns the total for the next report. */
    double report() {
        spentSinceReport = 0;
        return spent;
    }

    double level() {
        return level;
    }
}
