package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.membership.Epoch;
import io.parsleycleat.wire.escrow.Debit;
import io.parsleycleat.wire.escrow.DebitAnswer;
import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.Settlement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Takes tokens from a home of an account: the nearest that answers, or each in turn.
 *
 * <p>Created by {@link EscrowLimiter}; safe to share between threads.
 */
final class DebitRouter {
    /** The budgets that the process itself holds. */
    interface Homes {
        CompletableFuture<DebitDecision> debit(Debit debit);

        void settle(Settlement settlement);
    }

    /** What a process that is no entry holds. */
    static final Homes NO_HOMES = new Homes() {
        @Override
        public CompletableFuture<DebitDecision> debit(Debit debit) {
            return CompletableFuture.completedFuture(DebitDecision.notHome(0));
        }

        @Override
        public void settle(Settlement settlement) {
            // Nothing was taken here.
        }
    };

    private static final int MAX_CACHED_ACCOUNTS = 50_000;

    /** The homes of an account in one epoch, nearest first. */
    private record Route(long epoch, List<EpochMember> homes) {}

    private final ProcessIdentity identity;
    private final Supplier<CompletableFuture<Epoch>> epochs;
    private final Homes homes;
    private final EscrowPeers peers;
    private final boolean nearestFirst;
    private final AtomicLong debitCount = new AtomicLong();
    private final Map<String, Route> routes = new ConcurrentHashMap<>();

    DebitRouter(
            ProcessIdentity identity,
            Supplier<CompletableFuture<Epoch>> epochs,
            Homes homes,
            EscrowPeers peers,
            boolean nearestFirst) {
        this.identity = identity;
        this.epochs = epochs;
        this.homes = homes;
        this.peers = peers;
        this.nearestFirst = nearestFirst;
    }

    /** Debits the account at one home after the other, until one decides. */
    CompletableFuture<RoutedDebit> debit(String accountId, double tokens, double rest) {
        return epochs.get().thenCompose(epoch -> debit(epoch, accountId, tokens, rest));
    }

    private CompletableFuture<RoutedDebit> debit(Epoch epoch, String accountId, double tokens, double rest) {
        String id = identity.vmName() + '/' + identity.incarnation() + '/' + debitCount.incrementAndGet();
        Debit debit = Debit.newBuilder()
                .setEpoch(epoch.number())
                .setAccountId(accountId)
                .setTokens(tokens)
                .setDebitId(id)
                .setRest(rest)
                .build();
        List<EpochMember> order = new ArrayList<>(route(accountId, epoch));
        if (!nearestFirst && !order.isEmpty()) {
            Collections.rotate(order, (int) (debitCount.get() % order.size()));
        }
        order.sort(Comparator.comparing(peers::isPassedOver));
        return debitAt(order, 0, debit);
    }

    private CompletableFuture<RoutedDebit> debitAt(List<EpochMember> order, int index, Debit debit) {
        if (index >= order.size()) {
            DebitDecision none = DebitDecision.notHome(debit.getEpoch());
            return CompletableFuture.completedFuture(new RoutedDebit(debit.getTokens(), none, unused -> {}));
        }
        EpochMember home = order.get(index);
        boolean local = home.getVmName().equals(identity.vmName());
        CompletableFuture<DebitDecision> decision =
                local ? homes.debit(debit) : peers.debit(home, debit).thenApply(DebitRouter::decisionOf);
        return decision.handle((d, failure) -> {
                    if (failure != null) {
                        giveBack(home, debit, debit.getTokens(), true);
                    }
                    return failure == null && d.kind() != DebitDecision.Kind.NOT_HOME
                            ? CompletableFuture.completedFuture(new RoutedDebit(
                                    debit.getTokens(), d, unused -> giveBack(home, debit, unused, false)))
                            : debitAt(order, index + 1, debit);
                })
                .thenCompose(next -> next);
    }

    private void giveBack(EpochMember home, Debit debit, double unused, boolean givenUp) {
        Settlement settlement = Settlement.newBuilder()
                .setEpoch(debit.getEpoch())
                .setAccountId(debit.getAccountId())
                .setDebitId(debit.getDebitId())
                .setReturnedTokens(unused)
                .setGivenUp(givenUp)
                .build();
        if (home.getVmName().equals(identity.vmName())) {
            homes.settle(settlement);
        } else if (unused > 0) {
            peers.settle(home, settlement);
        }
    }

    private List<EpochMember> route(String accountId, Epoch epoch) {
        Route known = routes.get(accountId);
        if (known != null && known.epoch() == epoch.number()) {
            return known.homes();
        }
        Route found = new Route(
                epoch.number(),
                Parts.homesFor(accountId, epoch, identity.vmName(), identity.dataCentre(), identity.region()));
        if (routes.size() >= MAX_CACHED_ACCOUNTS) {
            routes.clear();
        }
        routes.put(accountId, found);
        return found.homes();
    }

    private static DebitDecision decisionOf(DebitAnswer answer) {
        if (answer.getGranted()) {
            return DebitDecision.granted(answer.getEpoch());
        }
        return answer.getHome()
                ? DebitDecision.refused(Duration.ofMillis(answer.getRetryAfterMillis()), answer.getEpoch())
                : DebitDecision.notHome(answer.getEpoch());
    }
}
