package io.parsleycleat.gateway.request;

import io.parsleycleat.gateway.request.limits.BudgetPeers;
import io.parsleycleat.gateway.version.routes.Account;
import io.parsleycleat.gateway.version.routes.RequestKind;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

/** Other entries that are asked for budgets and answer when the test does. Safe to share between threads. */
final class SilentPeers implements BudgetPeers {
    private static final String OTHER_ENTRY = "other";
    /** An account of whose budget one entry alone never has enough for a request. */
    private static final Account LIMITED = new Account("tailors", Set.of("key"), null, false, 0.1, 1, 1);

    final BlockingQueue<CompletableFuture<Grant>> draws = new LinkedBlockingQueue<>();

    @Override
    public CompletableFuture<Grant> draw(String entry, String account, double needed, double prefetch) {
        CompletableFuture<Grant> draw = new CompletableFuture<>();
        draws.add(draw);
        return draw;
    }

    @Override
    public void returnTokens(String entry, String account, double tokens) {
        // Nobody counts them.
    }

    /** Puts a route in force whose account has a budget of which an entry that stays silent holds a part. */
    static SilentPeers limitAccount(TestEntry at, Duration timeout) {
        SilentPeers peers = new SilentPeers();
        at.budgetPeers = peers;
        at.configure(RequestKind.ONCE, false, 1, timeout, Duration.ofSeconds(10), null, List.of(LIMITED));
        at.limitAccounts(OTHER_ENTRY, List.of(LIMITED));
        return peers;
    }
}
