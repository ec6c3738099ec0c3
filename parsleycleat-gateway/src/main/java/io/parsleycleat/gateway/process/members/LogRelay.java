package io.parsleycleat.gateway.process.members;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeLimit;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.routing.RendezvousHash;
import io.parsleycleat.gateway.version.follow.FollowSettings;
import io.parsleycleat.gateway.version.follow.KeyedLog;
import io.parsleycleat.gateway.version.follow.KeyedRecord;
import io.parsleycleat.gateway.version.follow.LogFollower;
import io.parsleycleat.gateway.version.follow.LogPosition;
import io.parsleycleat.wire.gate.FoundRecord;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.RecordsFound;
import io.parsleycleat.wire.gate.RecordsRead;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Reads logs through other entries of the data centre, so that not every entry reads the store.
 *
 * <p>An entry sends its reads to its parent in the {@link ReadTree} instead of the store. Each answer contains the age
 * of the parent's state; the state read here is that much older than the request. If the parent cannot answer, or does
 * not do so in time, the entry reads the log itself, and if the store does not answer either, through another entry. An
 * entry whose own reads of the store fail answers no others, so that no entry learns a state from itself.
 *
 * <p>One per entry; safe to share between threads.
 */
public final class LogRelay {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * How long the parent waits for the first record; short, so that a parent that does not answer is detected early.
     */
    private static final Duration MAX_RELAY_WAIT = Duration.ofMillis(300);

    /** With a shorter wait, the root would call the store as often as the other entries together otherwise do. */
    private static final Duration MIN_STORE_WAIT = Duration.ofMillis(400);

    private static final Duration ANSWER_MARGIN = Duration.ofMillis(200);
    /** How much the age of the store's last answer may exceed its normal maximum. */
    private static final Duration MAX_EXTRA_AGE = Duration.ofMillis(250);
    /** Age that each level of the tree adds: the parent's own read has waited, and so does the next one. */
    private static final Duration MAX_HOP_AGE = MAX_RELAY_WAIT.multipliedBy(2).plusMillis(50);
    /** Time for which reads bypass a parent that did not answer or had no answer. */
    private static final Duration PARENT_RETRY_DELAY = Duration.ofSeconds(3);

    private final PeerClient peers;
    private final Supplier<ReadTree.Position> position;
    private final Supplier<List<String>> substitutes;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final Map<String, LogFollower> followersByLog = new ConcurrentHashMap<>();
    private volatile long parentRetryNanos;

    /**
     * Creates a relay without logs.
     *
     * @param substitutes returns the addresses of the entries that may be asked in place of the store
     */
    LogRelay(
            PeerClient peers,
            Supplier<ReadTree.Position> position,
            Supplier<List<String>> substitutes,
            TimeSource time,
            ScheduledExecutorService scheduler) {
        this.peers = peers;
        this.position = position;
        this.substitutes = substitutes;
        this.time = time;
        this.scheduler = scheduler;
        this.parentRetryNanos = time.monotonicNanos();
    }

    /** Creates the relay of an entry. */
    public static LogRelay create(
            PeerClient peers,
            ProcessIdentity identity,
            EntryMembers members,
            TimeSource time,
            ScheduledExecutorService scheduler) {
        return new LogRelay(
                peers,
                () -> ReadTree.position(identity.vmName(), identity.dataCentre(), members.members()),
                () -> substitutes(identity.vmName(), members.peerAddresses()),
                time,
                scheduler);
    }

    /** Orders the other entries differently for each one, so that not all of them ask the same entry. */
    private static List<String> substitutes(String self, Map<String, String> addresses) {
        return RendezvousHash.order(self, List.copyOf(addresses.keySet()), n -> n).stream()
                .map(addresses::get)
                .toList();
    }

    /**
     * Returns the settings for relayed reads of a log within a bound, or nothing when the bound is too short for
     * relaying.
     *
     * @param base the settings for reading the log directly
     * @param bound how late a change may become known here while this entry can reach the store
     */
    public static Optional<FollowSettings> relaySettings(FollowSettings base, Duration bound) {
        Duration pauses = base.readPause().plus(base.readPause().dividedBy(LogFollower.RELAYED_PAUSE_DIVISOR));
        Duration relayDelay = MAX_EXTRA_AGE.plus(MAX_RELAY_WAIT).plus(ANSWER_MARGIN);
        Duration remaining = bound.multipliedBy(4).dividedBy(5).minus(pauses).minus(relayDelay);
        Duration wait = remaining.dividedBy(2);
        if (wait.compareTo(MIN_STORE_WAIT) < 0) {
            return Optional.empty();
        }
        return Optional.of(wait.compareTo(base.maxWait()) < 0 ? base.withMaxWait(wait) : base);
    }

    /** Answers reads of other entries from what a follower has read. */
    public void register(String log, LogFollower follower) {
        followersByLog.put(log, follower);
    }

    /**
     * Returns a log that is read directly, and through other entries while it does not answer this one.
     *
     * @param throughParent whether it is read through the parent if possible, and directly otherwise
     * @param timeout how long a direct answer may take beyond the wait
     */
    public KeyedLog relayedLog(String log, KeyedLog direct, boolean throughParent, Duration timeout) {
        return new RelayedLog(log, direct, this, throughParent, timeout, time, scheduler);
    }

    // Reading through another entry

    /** Returns the parent to read through, if there is one that answers. */
    Optional<String> usableParent() {
        return time.monotonicNanos() - parentRetryNanos < 0
                ? Optional.empty()
                : position.get().parent();
    }

    /** Lets reads of all logs pass over the parent for a while. */
    void onParentFailed(String parent, String log, Throwable failure) {
        parentRetryNanos = time.monotonicNanos() + PARENT_RETRY_DELAY.toNanos();
        logger.atInfo()
                .with(LogKeys.PEER, parent)
                .log("%s is read directly for %d ms: %s", log, PARENT_RETRY_DELAY.toMillis(), failure.getMessage());
    }

    /** Returns the addresses of the entries that may be asked in place of the store, in this entry's own order. */
    List<String> substitutes() {
        return substitutes.get();
    }

    /** Reads a log from what another entry has read; fails if that one cannot answer, or does not in time. */
    CompletableFuture<KeyedLog.Records> readThrough(
            String entry, String log, LogPosition from, Duration wait, KeyedLog.Source source) {
        Duration relayWait = wait.compareTo(MAX_RELAY_WAIT) < 0 ? wait : MAX_RELAY_WAIT;
        Duration timeout = relayWait.plus(ANSWER_MARGIN);
        RecordsRead.Builder read = RecordsRead.newBuilder()
                .setLog(log)
                .setEra(from.era())
                .setFrom(from.offset())
                .setWaitMillis((int) relayWait.toMillis());
        Frame.Builder frame =
                Frame.newBuilder().setGate(GateMessage.newBuilder().setRead(read));
        return TimeLimit.within(timeout, peers.request(entry, frame, timeout), scheduler)
                .thenApply(answer -> toRecords(entry, answer.getGate().getFound(), source));
    }

    private static KeyedLog.Records toRecords(String entry, RecordsFound found, KeyedLog.Source source) {
        if (!found.getKnown()) {
            throw new CompletionException(
                    new PeerException(ResultCode.PEER_UNREACHABLE, "the entry has no answer", entry));
        }
        List<KeyedRecord> records = found.getRecordsList().stream()
                .map(r -> new KeyedRecord(r.getKey(), r.getValue().toByteArray(), r.getOffset()))
                .toList();
        LogPosition next = new LogPosition(found.getEra(), found.getNext());
        Duration age = Duration.ofMillis(found.getAgeMillis());
        return new KeyedLog.Records(records, next, next.offset(), age, source);
    }

    // Answering other entries

    /** Answers a read of another entry: at once if possible, otherwise when a record arrives or the wait is over. */
    void onReadRequest(PeerChannel from, Frame frame) {
        RecordsRead read = frame.getGate().getRead();
        LogFollower follower = followersByLog.get(read.getLog());
        if (follower == null || !isFresh(follower)) {
            reply(from, frame, RecordsFound.getDefaultInstance());
            return;
        }
        long wait = Math.min(MAX_RELAY_WAIT.toMillis(), read.getWaitMillis());
        LogPosition requested = new LogPosition(read.getEra(), read.getFrom());
        CompletableFuture<Void> change = follower.mirror().whenReadBeyond(requested);
        change.thenRun(() -> reply(from, frame, toMessage(follower, requested)));
        if (!change.isDone()) {
            scheduler.schedule(() -> change.complete(null), wait, TimeUnit.MILLISECONDS);
        }
    }

    private RecordsFound toMessage(LogFollower follower, LogPosition from) {
        int age = follower.freshness().ageMillis();
        return follower.mirror()
                .recordsFrom(from)
                .filter(r -> isFresh(follower))
                .map(r -> RecordsFound.newBuilder()
                        .setKnown(true)
                        .setEra(r.next().era())
                        .setNext(r.next().offset())
                        .setAgeMillis(age)
                        .addAllRecords(
                                r.records().stream().map(LogRelay::toMessage).toList())
                        .build())
                .orElseGet(RecordsFound::getDefaultInstance);
    }

    private static FoundRecord toMessage(KeyedRecord record) {
        return FoundRecord.newBuilder()
                .setKey(record.key())
                .setValue(ByteString.copyFrom(record.value()))
                .setOffset(record.offset())
                .build();
    }

    /** Returns false if this entry has lost the store or lags behind, so that other entries do not wait for it. */
    private boolean isFresh(LogFollower follower) {
        Duration limit = follower.maxNormalAge()
                .plus(MAX_EXTRA_AGE)
                .plus(MAX_HOP_AGE.multipliedBy(position.get().depth()));
        return follower.isReachable() && follower.freshness().isYoungerThan(limit);
    }

    private static void reply(PeerChannel to, Frame frame, RecordsFound found) {
        to.reply(frame, Frame.newBuilder().setGate(GateMessage.newBuilder().setFound(found)));
    }
}
