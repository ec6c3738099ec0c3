package io.parsleycleat.standin.history;

import io.parsleycleat.standin.history.HistoryEvent.Invocation;
import io.parsleycleat.standin.history.HistoryEvent.KeyIssued;
import io.parsleycleat.standin.history.HistoryEvent.KeyWithdrawn;
import io.parsleycleat.standin.history.HistoryEvent.Limit;
import io.parsleycleat.standin.history.HistoryEvent.Ownership;
import io.parsleycleat.standin.history.HistoryEvent.UpstreamRun;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Checks of who may run what, and how much. Stateless. */
final class AccessChecks {
    private static final double MILLIS_PER_SECOND = 1000;

    /** Rounding of sums of tokens. */
    private static final double TOLERANCE_TOKENS = 1e-6;

    private AccessChecks() {}

    /** Each run belongs to a request whose key admits its caller to the target, unless the target is open to all. */
    static Stream<String> onlyTheAccount(History history) {
        return history.of(UpstreamRun.class)
                .filter(run -> history.invocation(run.request())
                        .map(i -> !isAdmitted(history, i, run.target()))
                        .orElse(true))
                .map(run -> run.request() + " ran on " + run.target() + " without a key that admits to it");
    }

    private static boolean isAdmitted(History history, Invocation invocation, String target) {
        List<Ownership> owners = history.of(Ownership.class)
                .filter(o -> o.target().equals(target))
                .toList();
        if (owners.stream().anyMatch(Ownership::openToAll)) {
            return true;
        }
        Optional<String> account = account(history, invocation);
        return account.isPresent()
                && owners.stream()
                        .anyMatch(o -> o.account().isEmpty() || o.account().equals(account.get()));
    }

    /** No upstream sees the secret of a key in anything that it is sent. */
    static Stream<String> noKeySeen(History history) {
        List<KeyIssued> keys = history.of(KeyIssued.class).toList();
        return history.of(UpstreamRun.class).flatMap(run -> keys.stream()
                .filter(k -> run.seen().stream().anyMatch(text -> text.contains(k.secret())))
                .map(k -> run.upstream() + " saw key " + k.keyId() + " with " + run.request()));
    }

    /** Nothing starts for a key that was withdrawn longer ago than the bound. */
    static Stream<String> withdrawnKey(History history, Duration bound) {
        return history.of(KeyWithdrawn.class).flatMap(withdrawn -> history.of(UpstreamRun.class)
                .filter(run -> run.at() > withdrawn.at() + bound.toMillis())
                .filter(run -> history.invocation(run.request())
                        .map(i -> i.keyId().equals(withdrawn.keyId()))
                        .orElse(false))
                .map(run -> run.request() + " started " + (run.at() - withdrawn.at()) + " ms after key "
                        + withdrawn.keyId() + " was withdrawn"));
    }

    /** In every span of time an account's runs take at most its burst and its rate times the span. */
    static Stream<String> rateAndBurst(History history) {
        return history.of(Limit.class)
                .map(Limit::account)
                .distinct()
                .flatMap(account -> rateAndBurst(history, account).stream());
    }

    private static Optional<String> rateAndBurst(History history, String account) {
        List<Limit> limits =
                history.of(Limit.class).filter(l -> l.account().equals(account)).toList();
        double rate = limits.stream().mapToDouble(Limit::tokensPerSecond).max().orElse(0);
        double burst = limits.stream().mapToDouble(Limit::burstTokens).max().orElse(0);
        // The largest excess over all spans that end at a run follows from the one at the run before.
        double level = 0;
        long before = 0;
        for (UpstreamRun run : runsOf(history, account)) {
            level = Math.max(0, level - rate * (run.at() - before) / MILLIS_PER_SECOND) + run.tokens();
            before = run.at();
            if (level > burst + TOLERANCE_TOKENS) {
                return Optional.of(
                        account + " had " + level + " tokens against a burst of " + burst + " at " + run.request());
            }
        }
        return Optional.empty();
    }

    private static List<UpstreamRun> runsOf(History history, String account) {
        return history.of(UpstreamRun.class)
                .filter(run -> history.invocation(run.request())
                        .flatMap(i -> account(history, i))
                        .equals(Optional.of(account)))
                .toList();
    }

    private static Optional<String> account(History history, Invocation invocation) {
        return history.of(KeyIssued.class)
                .filter(k -> k.keyId().equals(invocation.keyId()))
                .map(KeyIssued::account)
                .findFirst();
    }
}
