package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.membership.Epoch;
import io.parsleycleat.core.process.membership.EpochKeeper;
import io.parsleycleat.wire.escrow.Debit;
import io.parsleycleat.wire.escrow.DebitAnswer;
import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.Settlement;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Takes a request's tokens from the nearest home of its account that answers.
 *
 * <p>Created by {@link EscrowLimiter}; safe to share between threads.
 */
final class DebitRouter {
    private static final int MAX_CACHED_ACCOUNTS = 50_000;

    /** The homes of an account in one epoch, nearest first. */
    private record Route(long epoch, List<EpochMember> homes) {}

    private final ProcessIdentity identity;
    private final EpochKeeper keeper;
    private final HomeAccounts homes;
    private final EscrowPeers peers;
    private final AtomicLong debitCount = new AtomicLong();
    private final Map<String, Route> routes = new ConcurrentHashMap<>();

    DebitRouter(ProcessIdentity identity, EpochKeeper keeper, HomeAccounts homes, EscrowPeers peers) {
        this.identity = identity;
        this.keeper = keeper;
        this.homes = homes;
        this.peers = peers;
    }

    /** Debits the account at one home after the other, until one decides. */
    CompletableFuture<RoutedDebit> debit(String accountId, double tokens) {
        String id = identity.vmName() + '/' + identity.incarnation() + '/' + debitCount.incrementAndGet();
        Debit debit = Debit.newBuilder()
                .setEpoch(keeper.current())
                .setAccountId(accountId)
                .setTokens(tokens)
                .setDebitId(id)
                .build();
        List<EpochMember> order = route(accountId).stream()
                .sorted(Comparator.comparing(peers::isPassedOver))
                .toList();
        return debitAt(order, 0, debit);
    }

    private CompletableFuture<RoutedDebit> debitAt(List<EpochMember> order, int index, Debit debit) {
        if (index >= order.size()) {
            DebitDecision none = DebitDecision.notHome(keeper.current());
            return CompletableFuture.completedFuture(new RoutedDebit(debit.getTokens(), none, unused -> {}));
        }
        EpochMember home = order.get(index);
        boolean local = home.getVmName().equals(identity.vmName());
        CompletableFuture<DebitDecision> decision = local
                ? homes.debit(debit.getAccountId(), debit.getDebitId(), debit.getTokens())
                : peers.debit(home, debit).thenApply(DebitRouter::decisionOf);
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
                .setEpoch(keeper.current())
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

    private List<EpochMember> route(String accountId) {
        Epoch epoch = keeper.epoch();
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
