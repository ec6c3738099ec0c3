package io.parsleycleat.gateway.request.limits;

import io.parsleycleat.core.request.routing.RendezvousHash;
import io.parsleycleat.gateway.version.routes.Account;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Which entries are the homes of each account's budget, for one set of entries.
 *
 * <p>A budget lies in equal parts at up to four homes, so that the loss of one leaves most of it. A small budget has
 * fewer parts, since a part should hold the tokens of some requests. Behind the homes stands a deputy.
 *
 * <p>Created for each set of entries; guarded by the lock of its owner.
 */
final class HomeOrder {
    private static final int MAX_PARTS = 4;

    private final List<String> entries;
    private final double tokensPerPart;
    private final Map<String, List<String>> orders = new HashMap<>();

    /** Creates the order of a set of entries, this one among them. */
    HomeOrder(Set<String> entries, double tokensPerPart) {
        this.entries = List.copyOf(entries);
        this.tokensPerPart = tokensPerPart;
    }

    /** Returns among how many homes an account's budget is divided. */
    int parts(Account account) {
        double wanted = tokensPerPart <= 0 ? MAX_PARTS : Math.min(MAX_PARTS, account.burst() / tokensPerPart);
        return (int) Math.max(1, Math.min(entries.size(), wanted));
    }

    /** Returns the homes of an account, and after them the deputy if there are more entries than homes. */
    List<String> homes(Account account) {
        int last = Math.min(entries.size(), parts(account) + 1);
        return orders.computeIfAbsent(account.name(), name -> RendezvousHash.order(name, entries, e -> e).stream()
                        .limit(MAX_PARTS + 1L)
                        .toList())
                .subList(0, last);
    }

    /** Returns in which order an entry draws on the homes: on itself, then on the others from one of its own on. */
    List<String> drawOrder(Account account, String entry) {
        int parts = parts(account);
        List<String> all = homes(account).subList(0, parts);
        int first = Math.floorMod(entry.hashCode(), parts);
        return IntStream.range(0, parts)
                .mapToObj(i -> all.get((first + i) % parts))
                .sorted(Comparator.comparing((String e) -> !e.equals(entry)))
                .toList();
    }

    /** Returns the entry to draw on when a home does not answer. */
    Optional<String> deputy(Account account) {
        return homes(account).stream().skip(parts(account)).findFirst();
    }
}
