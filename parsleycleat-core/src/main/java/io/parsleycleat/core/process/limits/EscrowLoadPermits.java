package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.membership.EpochFollower;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.slots.LoadPriority;
import io.parsleycleat.core.process.time.TimeSource;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Takes the weight store's permits from budgets that the entries hold.
 *
 * <p>Created once by a side; safe to share between threads.
 */
public final class EscrowLoadPermits implements LoadPermits {
    private static final Duration RETRY_UNAVAILABLE = Duration.ofSeconds(1);

    private final DebitRouter router;
    private final EpochFollower epochs;

    /** Creates the permits of a side; the entries hold the limits. */
    public EscrowLoadPermits(
            ProcessIdentity identity,
            PeerClient client,
            Membership membership,
            TimeSource time,
            EscrowSettings settings) {
        EscrowPeers peers = new EscrowPeers(client, identity, time, settings);
        epochs = new EpochFollower(membership, peers);
        peers.listen((vmName, address, epoch) -> epochs.observe(epoch));
        router = new DebitRouter(identity, epochs::epoch, DebitRouter.NO_HOMES, peers, false);
    }

    /** Returns the epochs that this side has seen; messages of entries are to be noted there. */
    public EpochFollower epochs() {
        return epochs;
    }

    @Override
    public CompletableFuture<Either<Refusal, LoadPermit>> acquire(LoadPriority priority) {
        double rest = WeightStoreBudget.rest(priority);
        return router.debit(WeightStoreBudget.STARTS, 1, rest).thenCompose(start -> {
            if (start.decision().kind() != DebitDecision.Kind.GRANTED) {
                return CompletableFuture.completedFuture(Either.left(refusal(start.decision())));
            }
            return router.debit(WeightStoreBudget.TRANSITS, 1, 0).thenApply(transit -> permit(start, transit));
        });
    }

    private static Either<Refusal, LoadPermit> permit(RoutedDebit start, RoutedDebit transit) {
        if (transit.decision().kind() != DebitDecision.Kind.GRANTED) {
            start.giveBack().accept(start.tokens());
            return Either.left(refusal(transit.decision()));
        }
        AtomicBoolean released = new AtomicBoolean();
        return Either.right(() -> {
            if (released.compareAndSet(false, true)) {
                transit.giveBack().accept(transit.tokens());
            }
        });
    }

    private static Refusal refusal(DebitDecision decision) {
        return decision.kind() == DebitDecision.Kind.REFUSED
                ? Refusal.of(ResultCode.RATE_EXCEEDED, "The weight store's rate is used up.")
                        .withRetryAfter(decision.retryAfter())
                : Refusal.of(ResultCode.LIMIT_UNAVAILABLE).withRetryAfter(RETRY_UNAVAILABLE);
    }
}
