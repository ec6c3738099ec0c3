package io.parsleycleat.core.process.membership;

import java.time.Duration;

/**
 * Whether this entry may still mint and spend the parts that it holds.
 *
 * <p>It may while the platform, or most entries of its region, confirmed lately that it belongs to the fleet. After a
 * gap, as of a frozen process, others may have taken over its parts: it then waits until it has read the log to its
 * end, beginning after the gap was seen. Created by {@link EpochKeeper}; safe to share between threads.
 */
final class Standing {
    private final long boundNanos;
    private final long islandBoundNanos;

    private boolean confirmed;
    private long confirmedNanos;
    private long platformNanos;
    private boolean lapsed = true;
    private long lapsedNanos;

    Standing(Duration bound, Duration islandBound, long now) {
        this.boundNanos = bound.toNanos();
        this.islandBoundNanos = islandBound.toNanos();
        this.lapsedNanos = now;
        this.confirmedNanos = now;
        this.platformNanos = now;
    }

    /** Returns whether minting and spending is allowed. */
    synchronized boolean isValid(long now) {
        noticeGap(now);
        return confirmed && !lapsed;
    }

    /** Notes that the platform listed this entry at a time. */
    synchronized void confirmByPlatform(long atNanos, long now) {
        noticeGap(now);
        confirm(atNanos);
        platformNanos = Math.max(platformNanos, atNanos);
    }

    /** Notes that most entries of the region, which do not reach the platform either, answered. */
    synchronized void confirmByNeighbours(long askedNanos, long now) {
        noticeGap(now);
        if (askedNanos - platformNanos <= islandBoundNanos) {
            confirm(askedNanos);
        }
    }

    /** Notes that the log was read to its end, from a time on. */
    synchronized void confirmByLog(long startedNanos, long now) {
        noticeGap(now);
        if (startedNanos - lapsedNanos >= 0) {
            lapsed = false;
        }
        confirm(startedNanos);
        platformNanos = Math.max(platformNanos, startedNanos);
    }

    /** Notes that this entry is no longer part of the fleet. */
    synchronized void revoke(long now) {
        lapsed = true;
        lapsedNanos = now;
    }

    /** Returns how long ago the platform last confirmed this entry. */
    synchronized Duration platformAge(long now) {
        return Duration.ofNanos(now - platformNanos);
    }

    synchronized boolean isLapsed(long now) {
        noticeGap(now);
        return lapsed;
    }

    private void confirm(long atNanos) {
        confirmed = true;
        confirmedNanos = Math.max(confirmedNanos, atNanos);
    }

    private void noticeGap(long now) {
        if (now - confirmedNanos > boundNanos) {
            lapsed = true;
            lapsedNanos = now;
            confirmedNanos = now;
            confirmed = false;
        }
    }
}
