package io.parsleycleat.core.process.membership;

import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.EpochRecord;
import io.parsleycleat.wire.escrow.PresenceAnswer;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * What an {@link EpochKeeper} asks other entries.
 *
 * <p>Implemented by whoever owns the connections; safe to share between threads.
 */
public interface EpochPeers {
    /** Asks for the epochs from a number on. */
    CompletableFuture<List<EpochRecord>> pull(String peerAddress, long fromEpoch);

    /** Asks what another entry knows of the entry on a VM. */
    CompletableFuture<PresenceAnswer> presence(EpochMember asked, String vmName, long epoch);
}
