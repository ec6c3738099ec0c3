package io.parsleycleat.gateway.process.members;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.follow.KeyedLogListener;
import io.parsleycleat.wire.gate.EntryRecord;
import io.parsleycleat.wire.gate.QuarantinedPart;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the other entries as known from their records in the store. Each entry renews its record periodically; an entry
 * whose record is not renewed in time is regarded as gone.
 *
 * <p>An entry is active while its record cannot have expired for the others and no other active entry can be unknown to
 * it. This ensures that an earlier home of an account, the entry that owns the account's budget, becomes inactive
 * before another entry is its home.
 *
 * <p>One per entry; guarded by its own lock.
 */
public final class EntryMembers implements KeyedLogListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Age at which the record of another entry expires. */
    private static final Duration RECORD_LIFETIME = Duration.ofMillis(7_500);
    /** Age of the own record from which other entries may soon regard this entry as gone. */
    private static final Duration MAX_OWN_RECORD_AGE = Duration.ofSeconds(6);
    /** Age of the last read of the records from which another entry may be active that is unknown here. */
    public static final Duration MAX_READ_AGE = Duration.ofSeconds(4);
    /** Time after which every other entry knows a newly started one or is not active itself. */
    private static final Duration JOIN_DELAY = MAX_READ_AGE.plusMillis(250);
    /** Age of the record of this VM's earlier process below which no other entry regards the VM as gone. */
    private static final Duration MAX_RESTART_RECORD_AGE = Duration.ofSeconds(5);
    /** Time between two renewals of a record. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofMillis(2_500);
    /** Renewals of another entry that arrive right before and right after an outage of the store for all entries. */
    private static final int RENEWALS_AROUND_OUTAGE = 2;
    /** Time without an answer of the store after which the age of a record does not show whether its entry runs. */
    private static final Duration MIN_STORE_OUTAGE = Duration.ofSeconds(4);

    private final String self;
    private final TimeSource time;
    private final Consumer<List<QuarantinedPart>> onQuarantinedParts;
    private final Map<String, ReceivedRecord> receivedRecords = new HashMap<>();
    private boolean storeOutage;
    private final Map<String, Integer> renewalsByEntry = new HashMap<>();
    private boolean earlierRecordValid;
    private boolean ownRecordWritten;
    private long ownRenewalNanos;
    private long activeFromNanos;
    private boolean mayHaveExpired;
    private long renewalGapNanos;

    /** Another entry, as described by its record. */
    public record Member(String peerAddress, String dataCentre) {}

    private record ReceivedRecord(EntryRecord entry, long receivedNanos) {}

    /**
     * Creates an empty membership for the entry with the given name.
     *
     * @param onQuarantinedParts takes the quarantines that the records of other entries, and of this VM's earlier
     *     process, contain
     */
    public EntryMembers(String self, TimeSource time, Consumer<List<QuarantinedPart>> onQuarantinedParts) {
        this.self = self;
        this.time = time;
        this.onQuarantinedParts = onQuarantinedParts;
    }

    @Override
    public synchronized void onPut(String key, byte[] value) {
        try {
            EntryRecord entry = EntryRecord.parseFrom(value);
            if (key.equals(self)) {
                onEarlierOwnRecord(entry);
                return;
            }
            if (entry.getPeerAddress().isBlank()) {
                logMalformed(key, null);
                return;
            }
            renewalsByEntry.merge(key, 1, Integer::sum);
            ReceivedRecord before = receivedRecords.put(key, new ReceivedRecord(entry, time.monotonicNanos()));
            if (before == null) {
                logger.atInfo().with(LogKeys.PEER, key).log("entry at %s", entry.getPeerAddress());
            }
            onQuarantinedParts.accept(entry.getQuarantinedPartsList());
        } catch (InvalidProtocolBufferException e) {
            logMalformed(key, e);
        }
    }

    private static void logMalformed(String key, @Nullable Throwable cause) {
        logger.atWarning()
                .atMostEvery(1, TimeUnit.MINUTES)
                .withCause(cause)
                .with(LogKeys.PEER, key)
                .log("the record of an entry is malformed");
    }

    @Override
    public synchronized void onDelete(String key, boolean afterOutage) {
        if (!afterOutage && receivedRecords.remove(key) != null) {
            logger.atInfo().with(LogKeys.PEER, key).log("entry left");
        }
    }

    /**
     * Takes the record of this VM's earlier process and checks whether it is recent. The own record is from that
     * process until this process has written it.
     */
    private void onEarlierOwnRecord(EntryRecord entry) {
        if (ownRecordWritten) {
            return;
        }
        onQuarantinedParts.accept(entry.getQuarantinedPartsList());
        long age = time.wallMillis() - entry.getWrittenMillis();
        if (age >= 0 && age < MAX_RESTART_RECORD_AGE.toMillis()) {
            earlierRecordValid = true;
        }
    }

    /** Returns the content of this entry's own record as of now. */
    public EntryRecord ownRecord(String peerAddress, String dataCentre, List<QuarantinedPart> quarantinedParts) {
        return EntryRecord.newBuilder()
                .setPeerAddress(peerAddress)
                .setDataCentre(dataCentre)
                .setWrittenMillis(time.wallMillis())
                .addAllQuarantinedParts(quarantinedParts)
                .build();
    }

    /** Records that the own record was written by a call that was sent at the given time. */
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
     * Returns whether no other entry can regard this one as gone and no other active entry can be unknown to it.
     *
     * @param readAge the time since the request was sent that returned the newest known state of the records
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

    /**
     * Decides, after a gap in the own renewals, whether the store was unreachable for all entries: otherwise the others
     * renewed their records during the gap.
     */
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
        logger.atInfo().log("own record renewed after a gap; expired for other entries: %s", expired);
    }

    /**
     * Takes the age of the newest answer of the store. After an outage all records count as just renewed, since their
     * entries could not renew them.
     */
    public synchronized void updateReadAge(Duration readAge) {
        boolean outage = readAge.compareTo(MIN_STORE_OUTAGE) > 0;
        if (outage || storeOutage) {
            long now = time.monotonicNanos();
            receivedRecords.replaceAll((name, s) -> new ReceivedRecord(s.entry(), now));
        }
        storeOutage = outage;
    }

    /** Returns the other entries whose records have not expired, by name. */
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

    /** Returns the peer address of another entry, if its record has not expired. */
    public synchronized Optional<String> addressOf(String name) {
        return Optional.ofNullable(receivedRecords.get(name))
                .filter(s -> time.monotonicNanos() - s.receivedNanos() < RECORD_LIFETIME.toNanos())
                .map(s -> s.entry().getPeerAddress());
    }

    /** Returns the peer addresses of the other entries, by name. */
    public Map<String, String> peerAddresses() {
        return members().entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().peerAddress()));
    }
}
