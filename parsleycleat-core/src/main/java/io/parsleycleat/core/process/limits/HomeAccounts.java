package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.process.membership.Epoch;
import io.parsleycleat.core.process.membership.EpochKeeper;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.escrow.Debit;
import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.HandOver;
import io.parsleycleat.wire.escrow.HandOverAnswer;
import io.parsleycleat.wire.escrow.Lend;
import io.parsleycleat.wire.escrow.LendAnswer;
import io.parsleycleat.wire.escrow.LendReturn;
import io.parsleycleat.wire.escrow.Settlement;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * The budgets of all accounts at one entry, each a shard of its own, and the asking for parts that changed their owner.
 *
 * <p>Created by {@link EscrowLimiter}; safe to share between threads.
 */
final class HomeAccounts implements DebitRouter.Homes {
    private final String vmName;
    private final TimeSource time;
    private final ConfigurationSource configuration;
    private final EpochKeeper keeper;
    private final EscrowPeers peers;
    private final EscrowSettings settings;
    private final Map<String, HomeAccount> accounts = new ConcurrentHashMap<>();
    private final Object changeLock = new Object();
    private Epoch newest = Epoch.NONE;
    private List<Epoch> earlierEpochs = List.of();
    private Set<String> fixed = Set.of();
    private boolean ready;

    HomeAccounts(
            String vmName,
            TimeSource time,
            ConfigurationSource configuration,
            EpochKeeper keeper,
            EscrowPeers peers,
            EscrowSettings settings) {
        this.vmName = vmName;
        this.time = time;
        this.configuration = configuration;
        this.keeper = keeper;
        this.peers = peers;
        this.settings = settings;
    }

    // Configuration and epochs

    /** Takes in the accounts of a view. */
    void configure(ConfigurationView view) {
        Set<String> present = view.accounts().stream().map(Account::getId).collect(Collectors.toSet());
        synchronized (changeLock) {
            view.accounts().forEach(account -> {
                HomeAccount known = accounts.get(account.getId());
                if (known != null) {
                    known.configure(account);
                } else {
                    accounts.put(account.getId(), create(account));
                }
            });
            accounts.keySet().removeIf(id -> !present.contains(id) && !fixed.contains(id));
        }
    }

    /** Adds budgets that do not come from the configuration and are never removed. */
    void addFixed(List<Account> budgets) {
        synchronized (changeLock) {
            fixed = budgets.stream().map(Account::getId).collect(Collectors.toUnmodifiableSet());
            budgets.forEach(b -> accounts.put(b.getId(), create(b)));
        }
    }

    /** Takes in the next epoch. */
    void adopt(Epoch epoch, List<Epoch> earlier) {
        synchronized (changeLock) {
            newest = epoch;
            earlierEpochs = List.copyOf(earlier);
            accounts.values().forEach(a -> a.adopt(epoch, earlier));
        }
    }

    /** Asks for the parts that this entry owns and does not hold yet. */
    void tick() {
        noticeReadiness();
        accounts.forEach((id, account) -> account.awaited()
                .forEach((part, formers) -> formers.forEach(former -> askFor(id, account, part, former))));
    }

    // Requests of other entries and of this one

    @Override
    public CompletableFuture<DebitDecision> debit(Debit debit) {
        return home(debit.getAccountId())
                .map(a -> a.debit(debit))
                .orElseGet(() -> CompletableFuture.completedFuture(DebitDecision.notHome(keeper.current())));
    }

    @Override
    public void settle(Settlement settlement) {
        home(settlement.getAccountId()).ifPresent(a -> a.settle(settlement));
    }

    LendAnswer lend(Lend request) {
        return home(request.getAccountId()).map(a -> a.lend(request)).orElseGet(() -> LendAnswer.newBuilder()
                .setEpoch(keeper.current())
                .build());
    }

    void takeBack(LendReturn unspent) {
        home(unspent.getAccountId()).ifPresent(a -> a.takeBack(unspent));
    }

    HandOverAnswer handOver(HandOver request) {
        synchronized (changeLock) {
            return home(request.getAccountId())
                    .map(a -> a.handOver(request))
                    .orElseGet(() -> HandOverAnswer.newBuilder()
                            .setEpoch(keeper.current())
                            .setGiven(keeper.current() >= request.getEpoch())
                            .setNeverHeld(ready)
                            .build());
        }
    }

    boolean isDrained() {
        return accounts.values().stream().allMatch(HomeAccount::isDrained);
    }

    int heldParts(String accountId) {
        return home(accountId).map(HomeAccount::heldParts).orElse(0);
    }

    int heldParts() {
        return accounts.values().stream().mapToInt(HomeAccount::heldParts).sum();
    }

    int awaitedParts() {
        return accounts.values().stream().mapToInt(a -> a.awaited().size()).sum();
    }

    // Internals

    /** Only what appears after the first configuration was taken in counts as a new account. */
    private void noticeReadiness() {
        synchronized (changeLock) {
            if (!ready && configuration.isReady()) {
                configure(configuration.current());
                ready = true;
            }
        }
    }

    private Optional<HomeAccount> home(String accountId) {
        return Optional.ofNullable(accounts.get(accountId));
    }

    private HomeAccount create(Account account) {
        HomeAccount created = new HomeAccount(account, ready, vmName, time, keeper::isStanding, peers, settings);
        if (newest.number() > 0) {
            created.adopt(newest, earlierEpochs);
        }
        return created;
    }

    private void askFor(String accountId, HomeAccount account, int part, String former) {
        long epoch = keeper.current();
        Optional<EpochMember> member = keeper.lastMember(former);
        member.ifPresent(m -> peers.handOver(m, epoch, accountId, part).whenComplete((answer, failure) -> {
            if (failure == null) {
                account.receive(part, former, epoch, answer);
            } else {
                keeper.hasLapsed(former).thenAccept(lapsed -> {
                    if (lapsed) {
                        account.lapse(part, former, keeper.goneFor(former));
                    }
                });
            }
        }));
    }
}
