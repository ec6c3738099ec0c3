package io.parsleycleat.core.process.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * What was decided on the debits of the last seconds, so that a repeat gets the same answer.
 *
 * <p>Forgetting one loses tokens at worst. Created by {@link HomeAccount}, whose lock guards it.
 */
final class RecentDebits {
    private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int KEPT_DEBITS = 20_000;

    private record Entry(String id, long atNanos) {}

    private final Map<String, CompletableFuture<DebitDecision>> decisions = new HashMap<>();
    private final Deque<Entry> order = new ArrayDeque<>();

    /** Returns the decision on a debit that was seen before; remembers the given one otherwise. */
    @Nullable
    CompletableFuture<DebitDecision> putIfAbsent(String id, CompletableFuture<DebitDecision> decision, long now) {
        forget(now);
        CompletableFuture<DebitDecision> known = decisions.putIfAbsent(id, decision);
        if (known == null) {
            order.addLast(new Entry(id, now));
        }
        return known;
    }

    private void forget(long now) {
        for (Entry first = order.peekFirst(); first != null && isOld(first, now); first = order.peekFirst()) {
            decisions.remove(first.id());
            order.removeFirst();
        }
    }

    private boolean isOld(Entry entry, long now) {
        return now - entry.atNanos() > KEPT_NANOS || order.size() > KEPT_DEBITS;
    }
}
