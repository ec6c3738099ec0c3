package io.parsleycleat.standin.measure.limits;

import io.parsleycleat.core.process.limits.Reservation;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.configuration.Account;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The ways that the escrow is compared with.
 *
 * <p>Stateless; each way it creates is used by one thread.
 */
final class BucketStrategies {
    private static final Duration TIMEOUT = Duration.ofMillis(200);

    /** A bucket of an account at an entry, or at a start of an entry. */
    private record Place(String accountId, long entry) {}

    private BucketStrategies() {}

    /** Each entry has the same part of each account for itself. A restarted one starts empty. */
    static LimitStrategy staticShares(SimulatedFleet fleet, int entries) {
        Map<Place, TokenBucket> buckets = new HashMap<>();
        return (entry, account, tokens, result) -> {
            long now = fleet.time().monotonicNanos();
            TokenBucket bucket = buckets.computeIfAbsent(
                    new Place(account.getId(), entry),
                    place -> new TokenBucket(
                            account.getTokensPerSecond() / entries,
                            account.getBurstTokens() / entries,
                            account.getBurstTokens() / entries,
                            now));
            result.accept(decide(bucket, tokens, now));
        };
    }

    /**
     * One entry holds each account. When it is lost, the next one starts empty as soon as the VM list, with its lag,
     * no longer shows the lost one; nothing waits for a lapse, which flatters this way.
     */
    static LimitStrategy singleHome(SimulatedFleet fleet, Duration noticed) {
        Map<Place, TokenBucket> buckets = new HashMap<>();
        Map<Integer, Long> lostSince = new HashMap<>();
        return (entry, account, tokens, result) -> {
            int home = homeOf(account, fleet, lostSince, noticed);
            boolean alive = fleet.entries().contains(home);
            if (!alive) {
                fleet.time().after(TIMEOUT, () -> result.accept(Either.left(Refusal.of(ResultCode.LIMIT_UNAVAILABLE))));
                return;
            }
            Runnable decide = () -> {
                long now = fleet.time().monotonicNanos();
                boolean first = lostSince.isEmpty();
                TokenBucket bucket = buckets.computeIfAbsent(
                        new Place(account.getId(), home),
                        place -> new TokenBucket(
                                account.getTokensPerSecond(),
                                account.getBurstTokens(),
                                first ? account.getBurstTokens() : 0,
                                now));
                Either<Refusal, Reservation> answer = decide(bucket, tokens, now);
                if (home == entry) {
                    result.accept(answer);
                } else {
                    fleet.network().travel(fleet.process(home), fleet.process(entry), () -> result.accept(answer));
                }
            };
            if (home == entry) {
                decide.run();
            } else {
                fleet.network().travel(fleet.process(entry), fleet.process(home), decide);
            }
        };
    }

    private static int homeOf(Account account, SimulatedFleet fleet, Map<Integer, Long> lostSince, Duration noticed) {
        List<Integer> candidates = fleet.everStarted().stream()
                .sorted((a, b) ->
                        Integer.compare(Objects.hash(account.getId(), a * 31), Objects.hash(account.getId(), b * 31)))
                .toList();
        long now = fleet.time().monotonicNanos();
        for (int candidate : candidates) {
            boolean alive = fleet.entries().contains(candidate);
            long since = alive ? now : lostSince.computeIfAbsent(candidate, c -> now);
            if (now - since < noticed.toNanos() || alive) {
                return candidate;
            }
        }
        return candidates.get(0);
    }

    private static Either<Refusal, Reservation> decide(TokenBucket bucket, double tokens, long now) {
        if (!bucket.take(tokens, now)) {
            return Either.left(Refusal.of(ResultCode.RATE_EXCEEDED));
        }
        return Either.right(new Reservation() {
            @Override
            public long epoch() {
                return 0;
            }

            @Override
            public void settle(double usedTokens) {
                bucket.giveBack(tokens - usedTokens);
            }
        });
    }
}
