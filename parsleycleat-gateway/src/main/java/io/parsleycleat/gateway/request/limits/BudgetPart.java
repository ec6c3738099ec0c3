package io.parsleycleat.gateway.request.limits;

import java.time.Duration;

/**
 * The part of one account's budget that an entry is the home of, or a deputy's share of the slack.
 *
 * <p>In any window it gives at most what the rate brings in that time and the burst. Within that, it may give tokens
 * ahead of the rate; by how much at most has to be recorded before, since the next holder of the part begins that much
 * behind.
 *
 * <p>Created by {@link BudgetHomes}, whose lock guards it. Time is passed in, as monotonic nanoseconds.
 */
final class BudgetPart {
    /** What the first step ahead of the rate brings, in seconds of the rate; each later one doubles it. */
    private static final double FIRST_STEP_SECONDS = 1;
    /** Part of the burst, or of what is recorded, below which the next step is asked for. */
    private static final double LOW_PART = 0.25;

    private final Role role;
    private final double windowSeconds;
    private final TokenBucket bucket;
    private final SlidingWindow given;
    private double recordedAhead;
    private double wantedAhead;

    /** What an entry is for an account. */
    enum Role {
        HOME,
        DEPUTY
    }

    private BudgetPart(Role role, Duration window, TokenBucket bucket, long nowNanos) {
        this.role = role;
        this.windowSeconds = window.toNanos() / TokenBucket.NANOS_PER_SECOND;
        this.bucket = bucket;
        this.given = new SlidingWindow(window, nowNanos);
    }

    /** Creates a part whose tokens nobody can have given before. */
    static BudgetPart unused(Role role, Duration window, TokenBucket bucket, long nowNanos) {
        return new BudgetPart(role, window, bucket, nowNanos);
    }

    /**
     * Creates a part that another process may have held until now, and given all from that it was allowed to.
     *
     * @param bucket holds what the earlier holder cannot have given
     * @param ahead how far ahead of the rate the earlier holder may have been
     */
    static BudgetPart taken(Duration window, TokenBucket bucket, double ahead, long nowNanos) {
        BudgetPart part = new BudgetPart(Role.HOME, window, bucket, nowNanos);
        part.given.assumeSteady(part.windowSeconds * bucket.ratePerSecond(), nowNanos);
        part.given.add(bucket.burst() + ahead, nowNanos);
        part.given.remove(bucket.level(), nowNanos);
        bucket.take(ahead, ahead);
        return part;
    }

    Role role() {
        return role;
    }

    double ratePerSecond() {
        return bucket.ratePerSecond();
    }

    void setLimit(double newRate, double newBurst) {
        bucket.setLimit(newRate, newBurst);
    }

    /** Lets time pass; where this part does not gain, another one may have given its tokens meanwhile. */
    void fill(long nowNanos, boolean gains) {
        double brought = bucket.fill(nowNanos, gains);
        if (!gains) {
            given.add(brought, nowNanos);
        }
    }

    /** Returns what can be given now. */
    double available(long nowNanos) {
        return Math.max(0, Math.min(bucket.level() + recordedAhead, room(nowNanos)));
    }

    /** Takes what is there of a number of tokens, and returns it. */
    double take(double wanted, long nowNanos) {
        double taken = bucket.take(Math.min(wanted, available(nowNanos)), recordedAhead);
        given.add(taken, nowNanos);
        return taken;
    }

    void put(double tokens, long nowNanos) {
        bucket.put(tokens);
        given.remove(tokens, nowNanos);
    }

    /** Returns whether the part should be allowed to be further ahead of the rate, which it notes as wanted. */
    boolean wantsMore(long nowNanos) {
        double low = LOW_PART * Math.max(bucket.burst(), recordedAhead);
        boolean isLow = bucket.level() + recordedAhead < low && room(nowNanos) > 0;
        if (role == Role.DEPUTY || !isLow) {
            return false;
        }
        double step = Math.max(2 * recordedAhead, FIRST_STEP_SECONDS * bucket.ratePerSecond());
        wantedAhead = Math.min(capacity(), step);
        return wantedAhead > recordedAhead;
    }

    /** Returns how far ahead of the rate the next record should allow; a part that is not behind gives it up. */
    double aheadToRecord() {
        return bucket.level() >= 0 && wantedAhead <= recordedAhead ? 0 : Math.max(wantedAhead, recordedAhead);
    }

    /** Notes that a record is on its way, so that a smaller figure in it may be in force from now on. */
    void onRecordSent(double ahead) {
        recordedAhead = Math.min(recordedAhead, ahead);
    }

    /** Notes that a record is in force. */
    void onRecorded(double ahead) {
        recordedAhead = ahead;
        wantedAhead = 0;
    }

    /** Returns what the window still leaves. */
    private double room(long nowNanos) {
        return capacity() - given.sum(nowNanos);
    }

    private double capacity() {
        return windowSeconds * bucket.ratePerSecond() + bucket.burst();
    }
}
