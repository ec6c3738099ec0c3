package io.parsleycleat.gateway.process.members;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.LogTrimmedException;
import io.parsleycleat.core.process.time.TimeLimit;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.follow.KeyedLog;
import io.parsleycleat.gateway.version.follow.LogPosition;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * A log with several ways to its records: the parent in the tree of entries, if reads go through it, the store itself,
 * and any other entry. The store may turn away single entries while it serves the others, and a way that has failed
 * tells nothing of the others, so each read that fails on one way is made on the next.
 *
 * <p>Created by {@link LogRelay} for each log; its reads follow one another, on any thread.
 */
final class RelayedLog implements KeyedLog {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Time for which reads go through another entry after the store has not answered. */
    private static final Duration STORE_RETRY_DELAY = Duration.ofSeconds(1);

    /** Time by which a read that does not time out itself is given up later, so that its client can clean up first. */
    private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(250);

    /** How many entries are asked in one read, since one of them may be cut off itself. */
    private static final int MAX_SUBSTITUTES = 3;

    private final String name;
    private final KeyedLog store;
    private final LogRelay relay;
    private final boolean throughParent;
    private final Duration storeTimeout;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private volatile @Nullable Throwable storeFailure;
    private volatile long storeRetryNanos;
    private final AtomicInteger failedSubstitutes = new AtomicInteger();

    /** A read that the store has not answered. */
    private record FailedRead(LogPosition from, long startNanos, Throwable cause) {}

    /**
     * Creates a log that is read at the store first.
     *
     * @param throughParent whether it is read through the parent before the store
     * @param storeTimeout how long an answer of the store may take beyond the wait
     */
    RelayedLog(
            String name,
            KeyedLog store,
            LogRelay relay,
            boolean throughParent,
            Duration storeTimeout,
            TimeSource time,
            ScheduledExecutorService scheduler) {
        this.name = name;
        this.store = store;
        this.relay = relay;
        this.throughParent = throughParent;
        this.storeTimeout = storeTimeout;
        this.time = time;
        this.scheduler = scheduler;
    }

    @Override
    public CompletableFuture<NewestPage> readNewest(String afterKey) {
        return store.readNewest(afterKey);
    }

    @Override
    public CompletableFuture<Records> read(LogPosition from, Duration wait) {
        Optional<String> parent = throughParent ? relay.usableParent() : Optional.empty();
        long startNanos = time.monotonicNanos();
        return parent.map(p -> readThroughParent(p, from, wait, startNanos))
                .orElseGet(() -> readStore(from, wait, startNanos));
    }

    private CompletableFuture<Records> readThroughParent(
            String parent, LogPosition from, Duration wait, long startNanos) {
        return relay.readThrough(parent, name, from, wait, Source.PARENT)
                .handle((answer, failure) -> {
                    if (failure == null) {
                        return CompletableFuture.completedFuture(answer);
                    }
                    relay.onParentFailed(parent, name, Failures.unwrap(failure));
                    return readStore(from, Duration.ZERO, startNanos);
                })
                .thenCompose(answer -> answer);
    }

    private CompletableFuture<Records> readStore(LogPosition from, Duration wait, long startNanos) {
        Throwable known = storeFailure;
        if (known != null && time.monotonicNanos() - storeRetryNanos < 0) {
            return readThroughSubstitutes(new FailedRead(from, startNanos, known), wait, MAX_SUBSTITUTES);
        }
        Duration limit = wait.plus(storeTimeout).plus(TIMEOUT_MARGIN);
        return TimeLimit.within(limit, store.read(from, wait), scheduler)
                .handle((answer, failure) -> {
                    Throwable cause = failure == null ? null : Failures.unwrap(failure);
                    if (cause == null || cause instanceof LogTrimmedException) {
                        storeFailure = null;
                        return cause == null
                                ? CompletableFuture.completedFuture(answer)
                                : CompletableFuture.<Records>failedFuture(cause);
                    }
                    storeFailure = cause;
                    storeRetryNanos = time.monotonicNanos() + STORE_RETRY_DELAY.toNanos();
                    return readThroughSubstitutes(
                            new FailedRead(from, startNanos, cause), Duration.ZERO, MAX_SUBSTITUTES);
                })
                .thenCompose(answer -> answer);
    }

    /** Reads through another entry, or the next if it has no answer; fails as the store has if none answers. */
    private CompletableFuture<Records> readThroughSubstitutes(FailedRead read, Duration wait, int left) {
        List<String> others = relay.substitutes();
        if (left == 0 || others.isEmpty()) {
            storeRetryNanos = time.monotonicNanos();
            return CompletableFuture.failedFuture(read.cause());
        }
        String other = others.get(Math.floorMod(failedSubstitutes.get(), others.size()));
        Duration askedLater = Duration.ofNanos(time.monotonicNanos() - read.startNanos());
        return relay.readThrough(other, name, read.from(), wait, Source.SUBSTITUTE)
                .thenApply(answer -> answer.askedLater(askedLater))
                .handle((answer, failure) -> {
                    if (failure == null) {
                        return CompletableFuture.completedFuture(answer);
                    }
                    logger.atFine().withCause(failure).with(LogKeys.PEER, other).log("no answer on %s", name);
                    failedSubstitutes.incrementAndGet();
                    return readThroughSubstitutes(read, Duration.ZERO, left - 1);
                })
                .thenCompose(answer -> answer);
    }
}
