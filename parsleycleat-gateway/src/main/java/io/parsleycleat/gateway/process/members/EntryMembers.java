package io.parsleycleat.gateway.process.members;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.follow.KeyedLogListener;
import io.parsleycleat.wire.gate.EntryRecord;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The other entries, as their records in the store tell. An entry renews its record; one that is not renewed for a
 * while is gone.
 *
 * <p>One an entry; guarded by its own lock.
 */
public final class EntryMembers implements KeyedLogListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Age at which another entry's record has lapsed. */
    private static final Duration LAPSE = Duration.ofMillis(7_500);
    /** Age of the own record from which others may soon count this entry as gone. */
    private static final Duration OWN_LAPSE = Duration.ofSeconds(6);
    /** Age of what was read of the others from which one of them may have come that is not known here. */
    public static final Duration MAX_READ_AGE = Duration.ofSeconds(4);
    /** Time after which all others know of an entry that has come, or do not stand themselves. */
    private static final Duration SETTLE = MAX_READ_AGE.plusMillis(250);
    /** Age of the record of this VM's earlier process below which no other entry counts the VM as gone. */
    private static final Duration RESTART = Duration.ofSeconds(5);
    /** Time between two renewals of a record. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofMillis(2_500);
    /** Renewals of another entry right before and right after an outage of the store for all. */
    private static final int RENEWALS_AROUND_OUTAGE = 2;
    /** Silence of the store after which the age of records says nothing. */
    private static final Duration STORE_SILENCE = Duration.ofSeconds(4);

    private final String self;
    private final TimeSource time;
    private final Map<String, Seen> seen = new HashMap<>();
    private boolean storeSilent;
    private final Map<String, Integer> renewals = new HashMap<>();
    private boolean restarted;
    private boolean ownWritten;
    private long ownNanos;
    private long standsFromNanos;
    private boolean mayHaveLapsed;
    private long silentNanos;

    /** Another entry as its record tells. */
    public record Member(String peerAddress, String dataCentre) {}

    private record Seen(EntryRecord entry, long nanos) {}

    /** Creates an empty set for the entry with the given name. */
    public EntryMembers(String self, TimeSource time) {
        this.self = self;
        this.time = time;
    }

    @Override
    public synchronized void onPut(String key, byte[] value) {
        try {
            EntryRecord entry = EntryRecord.parseFrom(value);
            if (key.equals(self)) {
                noteOwn(entry);
                return;
            }
            renewals.merge(key, 1, Integer::sum);
            Seen before = seen.put(key, new Seen(entry, time.monotonicNanos()));
            if (before == null) {
                logger.atInfo().with(LogKeys.PEER, key).log("entry at %s", entry.getPeerAddress());
            }
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning().withCause(e).with(LogKeys.PEER, key).log("an entry's record cannot be read");
        }
    }

    @Override
    public synchronized void onDelete(String key, boolean afterOutage) {
        if (!afterOutage && seen.remove(key) != null) {
            logger.atInfo().with(LogKeys.PEER, key).log("entry left");
        }
    }

    /** Before this process has written, the own record is that of the VM's earlier process. */
    private void noteOwn(EntryRecord entry) {
        long age = time.wallMillis() - entry.getWrittenMillis();
        if (!ownWritten && age >= 0 && age < RESTART.toMillis()) {
            restarted = true;
        }
    }

    /** Returns the record that this entry writes now. */
    public EntryRecord ownRecord(String peerAddress, String dataCentre) {
        return EntryRecord.newBuilder()
                .setPeerAddress(peerAddress)
                .setDataCentre(dataCentre)
                .setWrittenMillis(time.wallMillis())
                .build();
    }

    /** Notes that the own record was written by a call that was sent at the given time. */
    public synchronized void onOwnRecordWritten(long sentNanos) {
        if (!ownWritten) {
            standsFromNanos = restarted ? sentNanos : sentNanos + SETTLE.toNanos();
        } else if (sentNanos - ownNanos > OWN_LAPSE.toNanos()) {
            mayHaveLapsed = true;
            silentNanos = sentNanos - ownNanos;
        } else if (!mayHaveLapsed) {
            renewals.clear();
        }
        ownWritten = true;
        ownNanos = sentNanos;
    }

    /**
     * Returns whether no other entry can count this one as gone, nor any other stand that this one does not know.
     *
     * @param readAge the time since the store was asked for what is known of the others
     */
    public synchronized boolean isActive(Duration readAge) {
        long now = time.monotonicNanos();
        if (!ownWritten || now - ownNanos > OWN_LAPSE.toNanos() || readAge.compareTo(MAX_READ_AGE) > 0) {
            return false;
        }
        if (mayHaveLapsed) {
            decideLapse(now, readAge);
        }
        return !mayHaveLapsed && now - standsFromNanos >= 0;
    }

    /** After a silence of the store the others' renewals tell whether it was silent for them as well. */
    private void decideLapse(long now, Duration readAge) {
        if (now - ownNanos < readAge.toNanos()) {
            return;
        }
        long ofWorkingStore = Math.max(RENEWALS_AROUND_OUTAGE + 1, silentNanos / RENEWAL_INTERVAL.toNanos() - 1);
        boolean lapsed = renewals.values().stream().anyMatch(n -> n >= ofWorkingStore);
        standsFromNanos = lapsed ? ownNanos + SETTLE.toNanos() : ownNanos;
        mayHaveLapsed = false;
        renewals.clear();
        logger.atInfo().log("own record renewed after a pause, taken as gone by others: %s", lapsed);
    }

    /**
     * Takes how long the store has been silent. After a silence all records count as just renewed, since their writers
     * had no way to renew them.
     */
    public synchronized void updateReadAge(Duration silence) {
        boolean silent = silence.compareTo(STORE_SILENCE) > 0;
        if (silent || storeSilent) {
            long now = time.monotonicNanos();
            seen.replaceAll((name, s) -> new Seen(s.entry(), now));
        }
        storeSilent = silent;
    }

    /** Returns the other entries by their names. */
    public synchronized Map<String, Member> members() {
        long oldest = time.monotonicNanos() - LAPSE.toNanos();
        Map<String, Member> present = new HashMap<>();
        seen.forEach((name, s) -> {
            if (s.nanos() - oldest > 0) {
                present.put(
                        name, new Member(s.entry().getPeerAddress(), s.entry().getDataCentre()));
            }
        });
        return present;
    }

    /** Returns the peer address of another entry, if there is one of that name. */
    public synchronized Optional<String> addressOf(String name) {
        return Optional.ofNullable(seen.get(name))
                .filter(s -> time.monotonicNanos() - s.nanos() < LAPSE.toNanos())
                .map(s -> s.entry().getPeerAddress());
    }

    /** Returns the peer addresses of the other entries by their names. */
    public Map<String, String> peerAddresses() {
        return members().entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().peerAddress()));
    }
}
