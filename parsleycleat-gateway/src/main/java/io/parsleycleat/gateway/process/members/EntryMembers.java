package io.parsleycleat.gateway.process.members;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.follow.KeyedFold;
import io.parsleycleat.wire.gate.EntryRecord;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The other entries, as their records in the store tell. An entry renews its record; one that is not renewed for a
 * while
 * is gone.
 *
 * <p>One an entry; guarded by its own lock.
 */
public final class EntryMembers implements KeyedFold {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Age at which another entry's record has lapsed. */
    private static final Duration LAPSE = Duration.ofMillis(7_500);
    /** Age of the own record from which this entry spends nothing, earlier than the others count on it. */
    private static final Duration OWN_LAPSE = Duration.ofSeconds(6);
    /** Silence of the store after which the age of records says nothing. */
    private static final Duration STORE_SILENCE = Duration.ofSeconds(4);

    private final String self;
    private final TimeSource time;
    private final Map<String, Seen> seen = new HashMap<>();
    private boolean storeSilent;
    private boolean ownWritten;
    private long ownNanos;

    private record Seen(EntryRecord entry, long nanos) {}

    /** Creates an empty set for the entry with the given name. */
    public EntryMembers(String self, TimeSource time) {
        this.self = self;
        this.time = time;
    }

    @Override
    public synchronized void put(String key, byte[] value) {
        if (key.equals(self)) {
            return;
        }
        try {
            EntryRecord entry = EntryRecord.parseFrom(value);
            Seen before = seen.put(key, new Seen(entry, time.monotonicNanos()));
            if (before == null) {
                logger.atInfo().with(LogKeys.PEER, key).log("entry at %s", entry.getPeerAddress());
            }
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning().withCause(e).with(LogKeys.PEER, key).log("an entry's record cannot be read");
        }
    }

    @Override
    public synchronized void drop(String key, boolean afterOutage) {
        if (seen.remove(key) != null) {
            logger.atInfo().with(LogKeys.PEER, key).log("entry left");
        }
    }

    /** Notes that the own record was written by a call that was sent at the given time. */
    public synchronized void ownRecordWritten(long sentNanos) {
        ownWritten = true;
        ownNanos = sentNanos;
    }

    /** Returns whether the others still count on this entry, so that it may spend its part. */
    public synchronized boolean isOwnRecordKnown() {
        return ownWritten && time.monotonicNanos() - ownNanos < OWN_LAPSE.toNanos();
    }

    /**
     * Takes how long the store has been silent. After a silence all records count as just renewed, since their writers
     * had
     * no way to renew them.
     */
    public synchronized void storeSilentFor(Duration silence) {
        boolean silent = silence.compareTo(STORE_SILENCE) > 0;
        if (silent || storeSilent) {
            long now = time.monotonicNanos();
            seen.replaceAll((name, s) -> new Seen(s.entry(), now));
        }
        storeSilent = silent;
    }

    /** Returns the peer addresses of the other entries by their names. */
    public synchronized Map<String, String> others() {
        long oldest = time.monotonicNanos() - LAPSE.toNanos();
        Map<String, String> addresses = new HashMap<>();
        seen.forEach((name, s) -> {
            if (s.nanos() - oldest > 0) {
                addresses.put(name, s.entry().getPeerAddress());
            }
        });
        return addresses;
    }
}
