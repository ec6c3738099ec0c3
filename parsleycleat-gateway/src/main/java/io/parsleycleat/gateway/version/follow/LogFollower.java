package io.parsleycleat.gateway.version.follow;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.LogTrimmedException;
import io.parsleycleat.core.process.time.TimeLimit;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a listener up to date with a keyed log: reads the whole log once, then every further record in order.
 *
 * <p>If the log no longer has records that were not read yet, the whole log is read again, and keys that are missing
 * count as deleted. A key never returns to the value of an earlier offset.
 *
 * <p>One read may return only a part of what is new. The age is reset by a read that leads to the end of the log, and
 * the reads before it follow one another without a pause.
 *
 * <p>A log that was restored from an older copy is read again as well. The known state stays in use, and its age is not
 * reset until the writers of the lost records have had time to write them again.
 *
 * <p>A record whose listener fails counts as read, as {@link KeyedLogListener} says, and is logged; the records around
 * it, the position and the age are as if it had been used.
 *
 * <p>Created once for each log. Its reads follow one another, on any thread.
 */
public final class LogFollower {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final byte[] NO_VALUE = {};
    /** Time without an answer after which records of other processes may have expired although the processes run. */
    private static final Duration MIN_OUTAGE = Duration.ofMillis(900);
    /** How much longer a read may take that is made through other processes after the log has not answered. */
    private static final Duration OTHER_WAYS_TIMEOUT = Duration.ofSeconds(1);

    /** Reads through another entry do not load the store, so the pause between them is divided by this. */
    public static final int RELAYED_PAUSE_DIVISOR = 4;

    private final String name;
    private final KeyedLog log;
    private final KeyedLogListener listener;
    private final FollowSettings settings;
    private final ScheduledExecutorService scheduler;
    private final TimeSource time;
    private final Freshness freshness;
    private final RecordFaultLog faults;
    private final AtomicLong currentGeneration = new AtomicLong();

    private final Object lock = new Object();
    private final LogMirror mirror = new LogMirror();
    private @Nullable LogPosition nextPosition;
    private long era;
    private boolean rewritesPending;
    private boolean reachable = true;
    private KeyedLog.Source source = KeyedLog.Source.STORE;
    private long lastAnswerNanos;
    private long graceEndsNanos;
    private boolean inGrace;
    private boolean nextReadSkipsWait;
    private boolean lastReadSkippedWait;
    private volatile boolean stopped;

    /** Creates a follower that has read nothing yet. */
    public LogFollower(
            String name,
            KeyedLog log,
            KeyedLogListener listener,
            FollowSettings settings,
            ScheduledExecutorService scheduler,
            TimeSource time) {
        this.name = name;
        this.log = log;
        this.listener = listener;
        this.settings = settings;
        this.scheduler = scheduler;
        this.time = time;
        this.freshness = new Freshness(time);
        this.faults = new RecordFaultLog(name, time);
        this.lastAnswerNanos = time.monotonicNanos();
    }

    // Public operations

    /** Starts reading. */
    public void start() {
        readNext(currentGeneration.get());
    }

    /** Stops reading; answers to pending requests are ignored. */
    public void stop() {
        stopped = true;
        currentGeneration.incrementAndGet();
    }

    /** Returns the age of the state that the listener has received. */
    public Freshness freshness() {
        return freshness;
    }

    /** Returns whether the whole log has been read and need not be read again. */
    public boolean isFullyRead() {
        synchronized (lock) {
            return nextPosition != null;
        }
    }

    /** Returns the records that were read, from which other processes can continue. */
    public LogMirror mirror() {
        return mirror;
    }

    /** Returns whether the log was fully read and answered the last read. */
    public boolean isReachable() {
        synchronized (lock) {
            return reachable && nextPosition != null;
        }
    }

    /** Returns the maximum age of the state while the log answers. */
    public Duration maxNormalAge() {
        return settings.maxNormalAge();
    }

    /** Returns the offset up to which the log was read; -1 while the whole log has to be read. */
    public long offset() {
        LogPosition position = position();
        return position == null ? -1 : position.offset();
    }

    /** Returns how often the log was restored from an older copy, as far as is known. */
    public long era() {
        synchronized (lock) {
            return era;
        }
    }

    private @Nullable LogPosition position() {
        synchronized (lock) {
            return nextPosition;
        }
    }

    // Reads and their outcomes

    private void readNext(long generation) {
        if (stopped || currentGeneration.get() != generation) {
            return;
        }
        Freshness.Moment sent = freshness.now();
        LogPosition from = position();
        Duration limit = settings.maxWait().plus(settings.timeout()).plus(OTHER_WAYS_TIMEOUT);
        TimeLimit.within(limit, read(generation, from), scheduler)
                .whenComplete((answer, failure) ->
                        onAnswer(generation, sent, answer, failure == null ? null : Failures.unwrap(failure)));
    }

    /** Starts a read. One that throws is a failed read like any other, so that the next one is scheduled. */
    private CompletableFuture<KeyedLog.Records> read(long generation, @Nullable LogPosition from) {
        try {
            return from == null ? readAll() : readUpdates(generation, from);
        } catch (RuntimeException | Error e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void onAnswer(
            long generation, Freshness.Moment sent, KeyedLog.@Nullable Records answer, @Nullable Throwable failure) {
        if (stopped || currentGeneration.get() != generation) {
            return;
        }
        if (answer != null && answer.next().era() > era()) {
            logger.atWarning().log(
                    "%s was restored from an older copy, era %d after %d; reading all of it",
                    name, answer.next().era(), era());
            scheduleFullRead(generation);
        } else if (answer != null && answer.next().era() < era()) {
            onFailure(
                    sent,
                    new IllegalStateException(
                            "an answer of era " + answer.next().era() + " after one of era " + era()));
            scheduleRetry(generation, sent);
        } else if (answer != null) {
            onSuccess(sent, answer);
            updateSource(answer.source());
            scheduleRead(generation, pauseAfter(answer));
        } else if (failure instanceof LogTrimmedException) {
            logger.atInfo().log("%s no longer has records that were not read yet; reading all of it", name);
            scheduleFullRead(generation);
        } else {
            onFailure(sent, failure == null ? new IllegalStateException("no answer") : failure);
            scheduleRetry(generation, sent);
        }
    }

    /** Returns no pause while records that are known to be there remain to be read, since changes wait meanwhile. */
    private Duration pauseAfter(KeyedLog.Records answer) {
        if (!answer.reachesEnd() && !answer.records().isEmpty()) {
            return Duration.ZERO;
        }
        return answer.source() == KeyedLog.Source.STORE
                ? settings.readPause()
                : settings.readPause().dividedBy(RELAYED_PAUSE_DIVISOR);
    }

    private void scheduleFullRead(long generation) {
        synchronized (lock) {
            nextPosition = null;
        }
        scheduleRead(generation, Duration.ZERO);
    }

    /**
     * Schedules the next read after a failed one, without delay if that has taken long. {@link #waitOfNextRead} says
     * whether it waits at the log.
     */
    private void scheduleRetry(long generation, Freshness.Moment sent) {
        synchronized (lock) {
            nextReadSkipsWait = !lastReadSkippedWait;
        }
        Duration left = settings.retryDelay().minusNanos(time.monotonicNanos() - sent.monotonicNanos());
        scheduleRead(generation, left.isNegative() ? Duration.ZERO : left);
    }

    private void scheduleRead(long generation, Duration delay) {
        scheduler.schedule(() -> readNext(generation), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void updateSource(KeyedLog.Source now) {
        if (now != source) {
            logger.atInfo().with(LogKeys.OFFSET, offset()).log("%s is read %s", name, describe(now));
            source = now;
        }
    }

    private static String describe(KeyedLog.Source source) {
        return switch (source) {
            case STORE -> "directly";
            case PARENT -> "through another entry";
            case SUBSTITUTE -> "through another entry, since the log does not answer this one";
        };
    }

    /**
     * Takes an answer. One of a substitute confirms the state, but does not show that the log answers. One that does
     * not lead to the end of the log shows that the log answers, but neither confirms the state nor ends the grace. Nor
     * does one end the grace that was asked for before: it need not hold what was written again since.
     */
    private void onSuccess(Freshness.Moment sent, KeyedLog.Records answer) {
        Freshness.Moment stateTime = sent.minus(answer.age());
        boolean graceOver;
        boolean complete;
        synchronized (lock) {
            boolean isSubstitute = answer.source() == KeyedLog.Source.SUBSTITUTE;
            if (!reachable && !isSubstitute) {
                logger.atInfo().with(LogKeys.OFFSET, offset()).log("%s answers again", name);
            }
            reachable = !isSubstitute;
            lastAnswerNanos = isSubstitute ? lastAnswerNanos : time.monotonicNanos();
            graceOver = inGrace && answer.reachesEnd() && stateTime.monotonicNanos() - graceEndsNanos >= 0;
            inGrace = inGrace && !graceOver;
            rewritesPending = rewritesPending && inGrace;
            complete = answer.reachesEnd() && !rewritesPending;
        }
        if (complete) {
            freshness.confirm(stateTime);
        }
        if (graceOver) {
            notifyGraceEnd();
        }
    }

    /** Logs the failures of an outage: the first one, and those that no quick refusal explains. */
    private void onFailure(Freshness.Moment sent, Throwable failure) {
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - sent.monotonicNanos());
        synchronized (lock) {
            if (reachable || waitedMillis >= settings.maxWait().toMillis()) {
                logger.atWarning()
                        .with(LogKeys.OFFSET, offset())
                        .log("%s does not answer for %d ms: %s", name, waitedMillis, failure);
            }
            reachable = false;
        }
    }

    /** Starts the time within which expired keys may be written again, if this answer ends an outage of the store. */
    private void startGraceAfterOutage() {
        synchronized (lock) {
            long now = time.monotonicNanos();
            if (!reachable && now - lastAnswerNanos > MIN_OUTAGE.toNanos()) {
                inGrace = true;
                graceEndsNanos = now + settings.outageGrace().toNanos();
            }
        }
    }

    // Reading and applying records

    private CompletableFuture<KeyedLog.Records> readUpdates(long generation, LogPosition from) {
        return log.read(from, waitOfNextRead()).thenApply(answer -> {
            if (currentGeneration.get() == generation && answer.next().era() == from.era()) {
                if (answer.source() != KeyedLog.Source.SUBSTITUTE) {
                    startGraceAfterOutage();
                }
                apply(answer.records());
                advanceTo(answer.next());
                mirror.onReadTo(answer.next().offset());
            }
            return answer;
        });
    }

    /**
     * Returns how long the next read may wait at the log for a record. The first after a failure does not wait, since
     * the state has aged meanwhile; if it fails too, the next one waits, which gives a slow log more time, and so on in
     * turn.
     */
    private Duration waitOfNextRead() {
        synchronized (lock) {
            lastReadSkippedWait = nextReadSkipsWait;
            nextReadSkipsWait = false;
            return inGrace || lastReadSkippedWait ? Duration.ZERO : settings.maxWait();
        }
    }

    private void advanceTo(LogPosition position) {
        synchronized (lock) {
            LogPosition known = nextPosition;
            boolean later = known == null || known.era() != position.era() || position.offset() > known.offset();
            nextPosition = later ? position : known;
        }
    }

    private boolean isInGrace() {
        synchronized (lock) {
            return inGrace;
        }
    }

    private CompletableFuture<KeyedLog.Records> readAll() {
        List<KeyedRecord> found = new ArrayList<>();
        return readPages("", null, found).thenApply(end -> {
            if (end.era() >= era()) {
                startGraceAfterOutage();
                enterEra(end.era(), found);
                applyAll(found);
                advanceTo(end);
                mirror.onFullRead(end.offset());
            }
            return new KeyedLog.Records(found, end);
        });
    }

    /** Reads all pages. Reading continues at the end as of the first page, since the pages are not a snapshot. */
    private CompletableFuture<LogPosition> readPages(
            String afterKey, @Nullable LogPosition firstEnd, List<KeyedRecord> found) {
        return log.readNewest(afterKey).thenCompose(page -> {
            LogPosition end = firstEnd == null ? page.end() : firstEnd;
            if (page.end().era() != end.era()) {
                return CompletableFuture.failedFuture(
                        new IllegalStateException("the log was restored while its pages were read"));
            }
            found.addAll(page.records());
            if (!page.hasMore()) {
                return CompletableFuture.completedFuture(end);
            }
            String lastKey = page.records().stream()
                    .reduce((earlier, later) -> later)
                    .map(KeyedRecord::key)
                    .orElse(afterKey);
            return lastKey.equals(afterKey)
                    ? CompletableFuture.failedFuture(
                            new IllegalStateException("a page of more records leads no further than " + afterKey))
                    : readPages(lastKey, end, found);
        });
    }

    /** Enters a later era, in which records that are missing from the restored copy have yet to be written again. */
    private void enterEra(long newEra, List<KeyedRecord> copied) {
        boolean first;
        synchronized (lock) {
            if (newEra == era) {
                return;
            }
            first = era == 0 && mirror.isEmpty();
            era = newEra;
            if (!first) {
                rewritesPending = true;
                inGrace = true;
                graceEndsNanos = time.monotonicNanos() + settings.outageGrace().toNanos();
            }
        }
        logger.atInfo().log("%s is read in era %d", name, newEra);
        mirror.beginEra(newEra, copied);
    }

    private void applyAll(List<KeyedRecord> found) {
        Set<String> present = found.stream()
                .filter(r -> !r.isTombstone())
                .map(KeyedRecord::key)
                .collect(Collectors.toSet());
        List<String> missing = mirror.deleteMissing(present);
        apply(found);
        missing.forEach(key -> notifyListener(new KeyedRecord(key, NO_VALUE, offset())));
    }

    private void apply(List<KeyedRecord> records) {
        records.stream().filter(mirror::putIfNewer).forEach(this::notifyListener);
    }

    private void notifyListener(KeyedRecord record) {
        try {
            if (record.isTombstone()) {
                listener.onDelete(record.key(), isInGrace());
            } else {
                listener.onPut(record.key(), record.value());
            }
            faults.onUsed(record.key());
        } catch (RuntimeException | Error e) {
            faults.onFault(record, e);
        }
    }

    private void notifyGraceEnd() {
        try {
            listener.onOutageGraceEnd();
        } catch (RuntimeException | Error e) {
            logger.atWarning().withCause(e).log("%s: removing keys that were not written again failed", name);
        }
    }
}
