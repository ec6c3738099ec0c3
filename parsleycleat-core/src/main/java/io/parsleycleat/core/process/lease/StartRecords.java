package io.parsleycleat.core.process.lease;

import com.google.protobuf.InvalidProtocolBufferException;
import io.parsleycleat.core.connection.platform.LogEntry;
import io.parsleycleat.wire.escrow.MembershipRecord;
import io.parsleycleat.wire.escrow.SideStart;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The start records of one upstream's sides, in log order.
 *
 * <p>A start that was appended twice counts where it stands first. Created by {@link UpstreamLease} and used under its
 * lock.
 */
final class StartRecords {
    private final String upstreamId;
    private final Map<Claimant, Long> fencingNumbers = new LinkedHashMap<>();
    private Claimant newest = Claimant.NONE;

    /** One incarnation of a side process. */
    record Claimant(String vmName, long incarnation) {
        static final Claimant NONE = new Claimant("", 0);
    }

    StartRecords(String upstreamId) {
        this.upstreamId = upstreamId;
    }

    void apply(LogEntry entry) {
        try {
            MembershipRecord record = MembershipRecord.parseFrom(entry.value());
            SideStart start = record.getSideStart();
            if (record.hasSideStart() && start.getUpstreamId().equals(upstreamId)) {
                Claimant claimant = new Claimant(start.getVmName(), start.getIncarnation());
                if (fencingNumbers.putIfAbsent(claimant, entry.offset() + 1) == null) {
                    newest = claimant;
                }
            }
        } catch (InvalidProtocolBufferException e) {
            // A record of a newer version of the system; it is no start record that this one could have to obey.
            return;
        }
    }

    boolean contains(Claimant claimant) {
        return fencingNumbers.containsKey(claimant);
    }

    boolean isNewest(Claimant claimant) {
        return newest.equals(claimant);
    }

    /** Returns the fencing number of a claimant, or 0 when it has none. */
    long fencingNumber(Claimant claimant) {
        return fencingNumbers.getOrDefault(claimant, 0L);
    }

    int size() {
        return fencingNumbers.size();
    }
}
