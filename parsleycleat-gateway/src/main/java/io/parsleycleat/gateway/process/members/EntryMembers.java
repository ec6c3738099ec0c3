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
    private static final Duration RECORD_LIFETIME = Duration.ofMillis(7_500);
    /** Age of the own record from which others may soon count this entry as gone. */
    private static final Duration MAX_OWN_RECORD_AGE = Duration.ofSeconds(6);
    /** Age of what was read of the others from which one of them may have come that is not known here. */
    public static final Duration MAX_READ_AGE = Duration.ofSeconds(4);
    /** Time after which all others know of an entry that has come, or do not stand themselves. */
    private static final Duration JOIN_DELAY = MAX_READ_AGE.plusMillis(250);
    /** Age of the record of this VM's earlier process below which no other entry counts the VM as gone. */
    private static final Duration MAX_RESTART_RECORD_AGE = Duration.ofSeconds(5);
    /** Time between two renewals of a record. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofMillis(2_500);
    /** Renewals of another entry right before and right after an outage of the store for all. */
    private static final int RENEWALS_AROUND_OUTAGE = 2;
    /** Silence of the store after which the age of records says nothing. */
    private static final Duration MIN_STORE_OUTAGE = Duration.ofSeconds(4);

    private final String self;
    private final TimeSource time;
    private final Map<String, ReceivedRecord> receivedRecords = new HashMap<>();
    private boolean storeOutage;
    private final Map<String, Integer> renewalsByEntry = new HashMap<>();
    private boolean earlierRecordValid;
    private boolean ownRecordWritten;
    private long ownRenewalNanos;
    private long activeFromNanos;
    private boolean mayHaveExpired;
    private long renewalGapNanos;

    /** Another entry as its record tells. */
    public record Member(String peerAddress, String dataCentre) {}

    private record ReceivedRecord(EntryRecord entry, long receivedNanos) {}

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
                onEarlierOwnRecord(entry);
                return;
            }
            renewalsByEntry.merge(key, 1, Integer::sum);
            ReceivedRecord before = receivedRecords.put(key, new ReceivedRecord(entry, time.monotonicNanos()));
            if (before == null) {
                logger.atInfo().with(LogKeys.PEER, key).log("entry at %s", entry.getPeerAddress());
            }
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning().withCause(e).with(LogKeys.PEER, key).log("an entry's record cannot be read");
        }
    }

    @Override
    public synchronized void onDelete(String key, boolean afterOutage) {
        if (!afterOutage && receivedRecords.remove(key) != null) {
            logger.atInfo().with(LogKeys.PEER, key).log("entry left");
        }
    }

    /** Before this process has written, the own record is that of the VM's earlier process. */
    private void onEarlierOwnRecord(EntryRecord entry) {
        long age = time.wallMillis() - entry.getWrittenMillis();
        if (!ownRecordWritten && age >= 0 && age < MAX_RESTART_RECORD_AGE.toMillis()) {
            earlierRecordValid = true;
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
        if (!ownRecordWritten) {
            activeFromNanos = earlierRecordValid ? sentNanos : sentNanos + JOIN_DELAY.toNanos();
        } else if (sentNanos - ownRenewalNanos > MAX_OWN_RECORD_AGE.toNanos()) {
            mayHaveExpired = true;
            renewalGapNanos = sentNanos - ownRenewalNanos;
        } else if (!mayHaveExpired) {
            renewalsByEntry.clear();
        }
        ownRecordWritten = true;
        ownRenewalNanos = sentNanos;
    }

    /**
     * Returns whether no other entry can count this one as gone, nor any other stand that this one does not know.
     *
     * @param readAge the time since the store was asked for what is known of the others
     */
    public synchronized boolean isActive(Duration readAge) {
        long now = time.monotonicNanos();
        if (!ownRecordWritten
                || now - ownRenewalNanos > MAX_OWN_RECORD_AGE.toNanos()
                || readAge.compareTo(MAX_READ_AGE) > 0) {
            return false;
        }
        if (mayHaveExpired) {
            resolvePossibleExpiry(now, readAge);
        }
        return !mayHaveExpired && now - activeFromNanos >= 0;
    }

    /** After a silence of the store the others' renewals tell whether it was silent for them as well. */
    private void resolvePossibleExpiry(long now, Duration readAge) {
        if (now - ownRenewalNanos < readAge.toNanos()) {
            return;
        }
        long renewalsWithoutOutage =
                Math.max(RENEWALS_AROUND_OUTAGE + 1, renewalGapNanos / RENEWAL_INTERVAL.toNanos() - 1);
        boolean expired = renewalsByEntry.values().stream().anyMatch(n -> n >= renewalsWithoutOutage);
        activeFromNanos = expired ? ownRenewalNanos + JOIN_DELAY.toNanos() : ownRenewalNanos;
        mayHaveExpired = false;
        renewalsByEntry.clear();
        logger.atInfo().log("own record renewed after a pause, taken as gone by others: %s", expired);
    }

    /**
     * Takes how long the store has been silent. After a silence all records count as just renewed, since their writers
     * had no way to renew them.
     */
    public synchronized void updateReadAge(Duration readAge) {
        boolean outage = readAge.compareTo(MIN_STORE_OUTAGE) > 0;
        if (outage || storeOutage) {
            long now = time.monotonicNanos();
            receivedRecords.replaceAll((name, s) -> new ReceivedRecord(s.entry(), now));
        }
        storeOutage = outage;
    }

    /** Returns the other entries by their names. */
    public synchronized Map<String, Member> members() {
        long oldest = time.monotonicNanos() - RECORD_LIFETIME.toNanos();
        Map<String, Member> present = new HashMap<>();
        receivedRecords.forEach((name, s) -> {
            if (s.receivedNanos() - oldest > 0) {
                present.put(
                        name, new Member(s.entry().getPeerAddress(), s.entry().getDataCentre()));
            }
        });
        return present;
    }

    /** Returns the peer address of another entry, if there is one of that name. */
    public synchronized Optional<String> addressOf(String name) {
        return Optional.ofNullable(receivedRecords.get(name))
                .filter(s -> time.monotonicNanos() - s.receivedNanos() < RECORD_LIFETIME.toNanos())
                .map(s -> s.entry().getPeerAddress());
    }

    /** Returns the peer addresses of the other entries by their names. */
    public Map<String, String> peerAddresses() {
        return members().entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().peerAddress()));
    }
}
