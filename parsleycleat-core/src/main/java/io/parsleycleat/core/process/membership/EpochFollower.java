package io.parsleycleat.core.process.membership;

import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.wire.escrow.EpochRecord;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Knows the epochs of a process that is no member of them: it asks an entry whenever a message names a newer one.
 *
 * <p>Created once by a side; safe to share between threads.
 */
public final class EpochFollower implements EpochSource {
    private final Membership membership;
    private final EpochPeers peers;
    private final AtomicLong observed = new AtomicLong();
    private final AtomicInteger turn = new AtomicInteger();
    private volatile Epoch newest = Epoch.NONE;

    /** Creates a follower that knows no epoch yet. */
    public EpochFollower(Membership membership, EpochPeers peers) {
        this.membership = membership;
        this.peers = peers;
    }

    @Override
    public long current() {
        return Math.max(observed.get(), newest.number());
    }

    /** Notes an epoch that a message carried. */
    public void observe(long epoch) {
        observed.accumulateAndGet(epoch, Math::max);
    }

    /** Completes with the newest epoch whose members can be learned. */
    public CompletableFuture<Epoch> epoch() {
        List<Vm> entries = membership.vms(ProcessRole.ENTRY);
        if (newest.number() >= Math.max(1, observed.get()) || entries.isEmpty()) {
            return CompletableFuture.completedFuture(newest);
        }
        Vm asked = entries.get(Math.floorMod(turn.getAndIncrement(), entries.size()));
        return peers.pull(asked.peerAddress(), newest.number() + 1).handle((records, failure) -> {
            if (failure == null) {
                records.forEach(this::take);
            }
            return newest;
        });
    }

    private synchronized void take(EpochRecord entry) {
        if (entry.getEpoch() > newest.number()) {
            newest = Epoch.of(entry);
            observe(entry.getEpoch());
        }
    }
}
