package io.parsleycleat.core.version.configuration;

import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.configuration.ConfigurationMessage;
import io.parsleycleat.wire.configuration.Pull;
import io.parsleycleat.wire.configuration.PullAnswer;
import io.parsleycleat.wire.configuration.Withdrawals;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Asks other processes for what this one does not know.
 *
 * <p>Created by {@link ConfigurationStore}; safe to share between threads.
 */
final class PeerPuller {
    private static final Duration MARGIN = Duration.ofSeconds(2);

    private final StoreParts parts;
    private final StateHolder holder;
    private final AtomicBoolean urgent = new AtomicBoolean();

    PeerPuller(StoreParts parts, StateHolder holder) {
        this.parts = parts;
        this.holder = holder;
    }

    /**
     * Asks one process, takes over what it answers and completes with the version that it has.
     *
     * @param wait how long the answer may be held back while there is nothing new
     */
    CompletableFuture<Long> pull(Vm vm, Duration wait) {
        Pull pull = Pull.newBuilder()
                .setFromOffset(holder.state().version())
                .setWaitMillis((int) wait.toMillis())
                .setWithdrawals(Withdrawals.newBuilder()
                        .addAllChanges(holder.known().withdrawals().values()))
                .build();
        return parts.peers()
                .request(
                        vm.peerAddress(),
                        frame(ConfigurationMessage.newBuilder().setPull(pull)),
                        wait.plus(MARGIN))
                .thenApply(reply -> take(vm, reply));
    }

    /** Asks a process that is known to be ahead, unless such a question is under way. */
    void pullAtOnce(Vm vm) {
        if (urgent.compareAndSet(false, true)) {
            pull(vm, Duration.ZERO).whenComplete((done, failure) -> urgent.set(false));
        }
    }

    /** Tells a process about withdrawals and completes when it has them. */
    CompletableFuture<Void> tell(Vm vm, Withdrawals withdrawals) {
        ConfigurationMessage.Builder message = ConfigurationMessage.newBuilder().setWithdrawals(withdrawals);
        return parts.peers().request(vm.peerAddress(), frame(message), MARGIN).thenAccept(reply -> parts.monitor()
                .heardPeer());
    }

    private long take(Vm vm, Frame reply) {
        if (!reply.getConfiguration().hasAnswer()) {
            throw new PeerException(ResultCode.FRAME_MALFORMED, "no answer to a pull", vm.peerAddress());
        }
        PullAnswer answer = reply.getConfiguration().getAnswer();
        long version = apply(answer);
        parts.monitor().learntFromPeer(vm.dataCentre(), Duration.ofMillis(answer.getContactAgeMillis()));
        return version;
    }

    private long apply(PullAnswer answer) {
        holder.withdraw(answer.getWithdrawals().getChangesList());
        holder.noteSnapshot(answer.getNewestSnapshot());
        if (answer.hasSnapshot()) {
            holder.install(answer.getSnapshot());
            return answer.getSnapshot().getNextOffset();
        }
        holder.apply(answer.getDelta());
        return answer.getDelta().getNextOffset();
    }

    private static Frame.Builder frame(ConfigurationMessage.Builder message) {
        return Frame.newBuilder().setConfiguration(message);
    }
}
