package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.process.membership.EpochKeeper;
import io.parsleycleat.wire.escrow.Debit;
import io.parsleycleat.wire.escrow.DebitAnswer;
import io.parsleycleat.wire.escrow.EpochPage;
import io.parsleycleat.wire.escrow.EpochPull;
import io.parsleycleat.wire.escrow.EscrowMessage;
import io.parsleycleat.wire.peer.Frame;

/**
 * Answers the escrow's messages from other entries.
 *
 * <p>Created by {@link EscrowLimiter}; safe to share between threads.
 */
final class EscrowFrameHandler {
    private final EpochKeeper keeper;
    private final HomeAccounts homes;

    EscrowFrameHandler(EpochKeeper keeper, HomeAccounts homes) {
        this.keeper = keeper;
        this.homes = homes;
    }

    void handle(PeerChannel from, Frame frame) {
        EscrowMessage message = frame.getEscrow();
        keeper.heardFrom(from.hello().getVmName(), addressOf(from), epochOf(message));
        EscrowMessage.Builder answer = EscrowMessage.newBuilder();
        switch (message.getMessageCase()) {
            case DEBIT -> debit(from, frame, message.getDebit());
            case SETTLEMENT -> homes.settle(message.getSettlement());
            case LEND -> reply(from, frame, answer.setLendAnswer(homes.lend(message.getLend())));
            case LEND_RETURN -> homes.takeBack(message.getLendReturn());
            case HAND_OVER -> reply(from, frame, answer.setHandOverAnswer(homes.handOver(message.getHandOver())));
            case EPOCH_PULL -> reply(from, frame, answer.setEpochPage(page(message.getEpochPull())));
            case PRESENCE -> reply(
                    from,
                    frame,
                    answer.setPresenceAnswer(
                            keeper.presenceOf(message.getPresence().getVmName())));
            default -> {}
        }
    }

    private void debit(PeerChannel from, Frame frame, Debit debit) {
        homes.debit(debit).thenAccept(decision -> {
            DebitAnswer answer = DebitAnswer.newBuilder()
                    .setGranted(decision.kind() == DebitDecision.Kind.GRANTED)
                    .setHome(decision.kind() != DebitDecision.Kind.NOT_HOME)
                    .setRetryAfterMillis(decision.retryAfter().toMillis())
                    .setEpoch(decision.epoch())
                    .build();
            reply(from, frame, EscrowMessage.newBuilder().setDebitAnswer(answer));
        });
    }

    private EpochPage page(EpochPull pull) {
        return EpochPage.newBuilder()
                .addAllRecords(keeper.recordsFrom(pull.getFromEpoch()))
                .build();
    }

    private String addressOf(PeerChannel from) {
        return keeper.epoch()
                .member(from.hello().getVmName())
                .map(m -> m.getPeerAddress())
                .orElse("");
    }

    private static long epochOf(EscrowMessage message) {
        return switch (message.getMessageCase()) {
            case DEBIT -> message.getDebit().getEpoch();
            case SETTLEMENT -> message.getSettlement().getEpoch();
            case LEND -> message.getLend().getEpoch();
            case LEND_RETURN -> message.getLendReturn().getEpoch();
            case HAND_OVER -> message.getHandOver().getEpoch();
            case PRESENCE -> message.getPresence().getEpoch();
            default -> 0;
        };
    }

    private static void reply(PeerChannel from, Frame frame, EscrowMessage.Builder answer) {
        from.reply(frame, Frame.newBuilder().setEscrow(answer));
    }
}
