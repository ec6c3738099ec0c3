package io.parsleycleat.gateway.version.follow;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.LogTrimmedException;
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
 * Keeps a fold up to date with a keyed log: one full read, then every further record in order.
 *
 * <p>When the log has dropped records that were not read yet, everything is read anew and keys that are missing count
 * as dropped. A key's value never goes back to an earlier offset.
 *
 * <p>A log that was restored from an older copy is read anew as well. What was known stays in use, and counts as old as
 * it was until those who wrote the lost records have had time to write them again.
 *
 * <p>Created once for each log; its steps follow one another, whichever thread they run on.
 */
public final class LogFollower {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Silence after which entries of others may have lapsed although they live. */
    private static final Duration OUTAGE = Duration.ofMillis(900);
    /** Reading through another entry costs the store nothing, so the pause between reads is this much shorter. */
    public static final int RELAYED_PAUSE_DIVISOR = 4;

    private final String name;
    private final KeyedLog log;
    private final KeyedLogListener fold;
    private final FollowSettings settings;
    private final ScheduledExecutorService scheduler;
    private final TimeSource time;
    private final Freshness freshness;
    private final AtomicLong round = new AtomicLong();

    private final Object lock = new Object();
    private final LogMirror mirror = new LogMirror();
    private @Nullable LogPosition next;
    private long era;
    private boolean restored;
    private boolean reachable = true;
    private boolean relayed;
    private long lastAnswerNanos;
    private long graceEndsNanos;
    private boolean inGrace;
    private volatile boolean stopped;

    /** Creates a follower that reads nothing yet. */
    public LogFollower(
            String name,
            KeyedLog log,
            KeyedLogListener fold,
            FollowSettings settings,
            ScheduledExecutorService scheduler,
            TimeSource time) {
        this.name = name;
        this.log = log;
        this.fold = fold;
        this.settings = settings;
        this.scheduler = scheduler;
        this.time = time;
        this.freshness = new Freshness(time);
        this.lastAnswerNanos = time.monotonicNanos();
    }

    // Public operations

    /** Starts to read. */
    public void start() {
        step(round.get());
    }

    /** Stops to read; answers that are on their way change nothing. */
    public void stop() {
        stopped = true;
        round.incrementAndGet();
    }

    /** Returns how fresh the fold is. */
    public Freshness freshness() {
        return freshness;
    }

    /** Returns whether the whole log has been read once. */
    public boolean isFullyRead() {
        synchronized (lock) {
            return next != null;
        }
    }

    /** Returns what was read, for others to go on from. */
    public LogMirror mirror() {
        return mirror;
    }

    /** Returns whether the log answers, as far as is known. */
    public boolean isReachable() {
        synchronized (lock) {
            return reachable && next != null;
        }
    }

    /** Returns how old what was read becomes at most while the log answers. */
    public Duration maxNormalAge() {
        return settings.maxNormalAge();
    }

    /** Returns the offset up to which the log was read; -1 while all of it has to be read. */
    public long offset() {
        LogPosition place = place();
        return place == null ? -1 : place.offset();
    }

    /** Returns how often the log was restored from an older copy, as far as is known. */
    public long era() {
        synchronized (lock) {
            return era;
        }
    }

    private @Nullable LogPosition place() {
        synchronized (lock) {
            return next;
        }
    }

    // Steps

    private void step(long current) {
        if (stopped || round.get() != current) {
            return;
        }
        Freshness.Moment sent = freshness.now();
        LogPosition from = place();
        CompletableFuture<KeyedLog.Records> done = from == null ? readAll() : readOn(current, from);
        done.orTimeout(settings.maxWait().plus(settings.timeout()).toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((answer, failure) ->
                        after(current, sent, answer, failure == null ? null : Failures.unwrap(failure)));
    }

    private void after(
            long current, Freshness.Moment sent, KeyedLog.@Nullable Records answer, @Nullable Throwable failure) {
        if (stopped || round.get() != current) {
            return;
        }
        if (answer != null && answer.next().era() > era()) {
            logger.atWarning().log(
                    "%s was restored from an older copy, era %d after %d; reading all of it",
                    name, answer.next().era(), era());
            readAnew(current);
        } else if (answer != null && answer.next().era() < era()) {
            failed(new IllegalStateException("an answer of era " + answer.next().era() + " after one of era " + era()));
            again(current, settings.retryDelay());
        } else if (answer != null) {
            answered(sent.minus(answer.age()));
            noteRelayed(answer.relayed());
            again(
                    current,
                    answer.relayed() ? settings.readPause().dividedBy(RELAYED_PAUSE_DIVISOR) : settings.readPause());
        } else if (failure instanceof LogTrimmedException) {
            logger.atInfo().log("%s dropped records that were not read; reading all of it", name);
            readAnew(current);
        } else {
            failed(failure == null ? new IllegalStateException("no answer") : failure);
            again(current, settings.retryDelay());
        }
    }

    private void readAnew(long current) {
        synchronized (lock) {
            next = null;
        }
        again(current, Duration.ZERO);
    }

    private void again(long current, Duration delay) {
        scheduler.schedule(() -> step(current), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void noteRelayed(boolean now) {
        if (now != relayed) {
            logger.atInfo()
                    .with(LogKeys.OFFSET, offset())
                    .log("%s is read %s", name, now ? "by another entry" : "here");
            relayed = now;
        }
    }

    private void answered(Freshness.Moment known) {
        boolean graceOver;
        boolean complete;
        synchronized (lock) {
            if (!reachable) {
                logger.atInfo().with(LogKeys.OFFSET, offset()).log("%s answers again", name);
            }
            reachable = true;
            lastAnswerNanos = time.monotonicNanos();
            graceOver = inGrace && time.monotonicNanos() - graceEndsNanos >= 0;
            inGrace = inGrace && !graceOver;
            restored = restored && inGrace;
            complete = !restored;
        }
        if (complete) {
            freshness.confirm(known);
        }
        if (graceOver) {
            fold.onOutageGraceEnd();
        }
    }

    private void failed(Throwable failure) {
        synchronized (lock) {
            if (reachable) {
                logger.atWarning().with(LogKeys.OFFSET, offset()).log("%s does not answer: %s", name, failure);
            }
            reachable = false;
        }
    }

    /** Begins the time in which lapsed keys may return when the store was silent before this answer. */
    private void noteContact() {
        synchronized (lock) {
            long now = time.monotonicNanos();
            if (!reachable && now - lastAnswerNanos > OUTAGE.toNanos()) {
                inGrace = true;
                graceEndsNanos = now + settings.outageGrace().toNanos();
            }
        }
    }

    // Reading

    private CompletableFuture<KeyedLog.Records> readOn(long current, LogPosition from) {
        Duration wait = isGraceRunning() ? Duration.ZERO : settings.maxWait();
        return log.read(from, wait).thenApply(answer -> {
            if (round.get() == current && answer.next().era() == from.era()) {
                noteContact();
                apply(answer.records());
                goOnFrom(answer.next());
                mirror.readTo(answer.next().offset());
            }
            return answer;
        });
    }

    private void goOnFrom(LogPosition place) {
        synchronized (lock) {
            LogPosition known = next;
            boolean later = known == null || known.era() != place.era() || place.offset() > known.offset();
            next = later ? place : known;
        }
    }

    private boolean isGraceRunning() {
        synchronized (lock) {
            return inGrace;
        }
    }

    private CompletableFuture<KeyedLog.Records> readAll() {
        List<KeyedRecord> found = new ArrayList<>();
        return readPages("", null, found).thenApply(end -> {
            if (end.era() >= era()) {
                noteContact();
                noteEra(end.era(), found);
                applyAll(found);
                goOnFrom(end);
                mirror.fullyReadTo(end.offset());
            }
            return new KeyedLog.Records(found, end);
        });
    }

    /** Reads all pages. The end as of the first page is where reading goes on, since pages are no snapshot. */
    private CompletableFuture<LogPosition> readPages(
            String afterKey, @Nullable LogPosition firstEnd, List<KeyedRecord> found) {
        return log.readNewest(afterKey).thenCompose(page -> {
            LogPosition end = firstEnd == null ? page.end() : firstEnd;
            if (page.end().era() != end.era()) {
                return CompletableFuture.failedFuture(
                        new IllegalStateException("the log was restored between two pages of it"));
            }
            found.addAll(page.records());
            if (!page.hasMore() || page.records().isEmpty()) {
                return CompletableFuture.completedFuture(end);
            }
            KeyedRecord last = page.records().get(page.records().size() - 1);
            return readPages(last.key(), end, found);
        });
    }

    /** Goes over to a later era, in which records that its copy lacks are still to be written again. */
    private void noteEra(long newEra, List<KeyedRecord> copied) {
        boolean first;
        synchronized (lock) {
            if (newEra == era) {
                return;
            }
            first = era == 0 && mirror.isEmpty();
            era = newEra;
            if (!first) {
                restored = true;
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
        List<String> missing = mirror.dropMissing(present);
        apply(found);
        missing.forEach(this::drop);
    }

    private void apply(List<KeyedRecord> records) {
        records.stream().filter(mirror::accept).forEach(r -> {
            if (r.isTombstone()) {
                drop(r.key());
            } else {
                fold.onPut(r.key(), r.value());
            }
        });
    }

    private void drop(String key) {
        boolean afterOutage;
        synchronized (lock) {
            afterOutage = inGrace;
        }
        fold.onDelete(key, afterOutage);
    }
}
