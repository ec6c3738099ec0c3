package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.membership.EpochPeers;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.escrow.Debit;
import io.parsleycleat.wire.escrow.DebitAnswer;
import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.EpochPull;
import io.parsleycleat.wire.escrow.EpochRecord;
import io.parsleycleat.wire.escrow.EscrowMessage;
import io.parsleycleat.wire.escrow.HandOver;
import io.parsleycleat.wire.escrow.HandOverAnswer;
import io.parsleycleat.wire.escrow.Lend;
import io.parsleycleat.wire.escrow.LendAnswer;
import io.parsleycleat.wire.escrow.LendReturn;
import io.parsleycleat.wire.escrow.Presence;
import io.parsleycleat.wire.escrow.PresenceAnswer;
import io.parsleycleat.wire.escrow.Settlement;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * The messages of the escrow to other entries, and which entries did not answer lately.
 *
 * <p>Created by {@link EscrowLimiter}; safe to share between threads.
 */
final class EscrowPeers implements EpochPeers, Lenders {
    /** Learns of each answer: the VM that sent it, its address and its epoch. */
    @FunctionalInterface
    interface Listener {
        void answered(String vmName, String peerAddress, long epoch);
    }

    private final PeerClient client;
    private final ProcessIdentity identity;
    private final TimeSource time;
    private final Duration timeout;
    private final Duration lendTimeout;
    private final long retryNanos;
    private final LongAdder sent = new LongAdder();
    private final Map<String, Long> unreachableUntil = new ConcurrentHashMap<>();
    private volatile Listener listener = (vm, address, epoch) -> {};

    EscrowPeers(PeerClient client, ProcessIdentity identity, TimeSource time, EscrowSettings settings) {
        this.client = client;
        this.identity = identity;
        this.time = time;
        this.timeout = settings.requestTimeout();
        this.lendTimeout = settings.lendTimeout();
        this.retryNanos = settings.retryUnreachable().toNanos();
    }

    void listen(Listener newListener) {
        listener = newListener;
    }

    /** Returns how many messages were sent. */
    long sent() {
        return sent.sum();
    }

    /** Returns whether an entry did not answer lately. */
    boolean isPassedOver(EpochMember member) {
        Long until = unreachableUntil.get(member.getVmName());
        return until != null && until - time.monotonicNanos() > 0;
    }

    CompletableFuture<DebitAnswer> debit(EpochMember home, Debit debit) {
        return request(home, EscrowMessage.newBuilder().setDebit(debit)).thenApply(message -> {
            DebitAnswer answer = message.getDebitAnswer();
            listener.answered(home.getVmName(), home.getPeerAddress(), answer.getEpoch());
            return answer;
        });
    }

    void settle(EpochMember home, Settlement settlement) {
        send(home, EscrowMessage.newBuilder().setSettlement(settlement));
    }

    @Override
    public CompletableFuture<LendAnswer> ask(EpochMember home, Lend lend) {
        return request(home, EscrowMessage.newBuilder().setLend(lend), lendTimeout)
                .thenApply(message -> {
                    LendAnswer answer = message.getLendAnswer();
                    listener.answered(home.getVmName(), home.getPeerAddress(), answer.getEpoch());
                    return answer;
                });
    }

    @Override
    public void giveBack(EpochMember home, LendReturn unspent) {
        send(home, EscrowMessage.newBuilder().setLendReturn(unspent));
    }

    CompletableFuture<HandOverAnswer> handOver(EpochMember former, long epoch, String accountId, int part) {
        HandOver request = HandOver.newBuilder()
                .setEpoch(epoch)
                .setAccountId(accountId)
                .setPart(part)
                .setAsker(identity.vmName())
                .setAskerIncarnation(identity.incarnation())
                .build();
        return request(former, EscrowMessage.newBuilder().setHandOver(request)).thenApply(message -> {
            HandOverAnswer answer = message.getHandOverAnswer();
            listener.answered(former.getVmName(), former.getPeerAddress(), answer.getEpoch());
            return answer;
        });
    }

    @Override
    public CompletableFuture<List<EpochRecord>> pull(String peerAddress, long fromEpoch) {
        sent.increment();
        EscrowMessage.Builder message =
                EscrowMessage.newBuilder().setEpochPull(EpochPull.newBuilder().setFromEpoch(fromEpoch));
        return client.request(peerAddress, Frame.newBuilder().setEscrow(message), timeout)
                .thenApply(frame -> frame.getEscrow().getEpochPage().getRecordsList());
    }

    @Override
    public CompletableFuture<PresenceAnswer> presence(EpochMember asked, String vmName, long epoch) {
        Presence question =
                Presence.newBuilder().setVmName(vmName).setEpoch(epoch).build();
        return request(asked, EscrowMessage.newBuilder().setPresence(question))
                .thenApply(EscrowMessage::getPresenceAnswer);
    }

    private CompletableFuture<EscrowMessage> request(EpochMember to, EscrowMessage.Builder message) {
        return request(to, message, timeout);
    }

    private CompletableFuture<EscrowMessage> request(EpochMember to, EscrowMessage.Builder message, Duration within) {
        sent.increment();
        return client.request(to.getPeerAddress(), Frame.newBuilder().setEscrow(message), within)
                .whenComplete((frame, failure) -> note(to.getVmName(), failure))
                .thenApply(Frame::getEscrow);
    }

    private void send(EpochMember to, EscrowMessage.Builder message) {
        sent.increment();
        client.send(to.getPeerAddress(), Frame.newBuilder().setEscrow(message));
    }

    private void note(String vmName, @Nullable Throwable failure) {
        if (failure == null) {
            unreachableUntil.remove(vmName);
        } else {
            unreachableUntil.put(vmName, time.monotonicNanos() + retryNanos);
        }
    }
}
