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
 * Assigns homes, the entries that own the parts of an account's budget, for one set of entries.
 *
 * <p>A budget is divided into equal parts with up to four homes, so that most of it remains if a home is lost. A small
 * budget has fewer parts, because a part should hold the tokens of several requests. The next entry in rendezvous order
 * after the homes is the deputy.
 *
 * <p>Created by {@link BudgetHomes} for each set of entries and guarded by its lock.
 */
final class HomeOrder {
    private static final int MAX_PARTS = 4;

    private final List<String> entries;
    private final double minTokensPerPart;
    private final Map<String, List<String>> rendezvousOrders = new HashMap<>();

    /** Creates the assignment for a set of entries that includes this one. */
    HomeOrder(Set<String> entries, double minTokensPerPart) {
        this.entries = List.copyOf(entries);
        this.minTokensPerPart = minTokensPerPart;
    }

    /** Returns the number of homes among which an account's budget is divided. */
    int partCount(Account account) {
        double wanted = minTokensPerPart <= 0 ? MAX_PARTS : Math.min(MAX_PARTS, account.burst() / minTokensPerPart);
        return (int) Math.max(1, Math.min(entries.size(), wanted));
    }

    /** Returns the homes of an account, followed by the deputy if there are more entries than homes. */
    List<String> homesAndDeputy(Account account) {
        int last = Math.min(entries.size(), partCount(account) + 1);
        return rendezvousOrders
                .computeIfAbsent(account.name(), name -> RendezvousHash.order(name, entries, e -> e).stream()
                        .limit(MAX_PARTS + 1L)
                        .toList())
                .subList(0, last);
    }

    /**
     * Returns the order in which an entry draws from the homes: itself first if it is one, then the others in rotation
     * from a position that depends on the entry's name.
     */
    List<String> drawOrder(Account account, String entry) {
        int parts = partCount(account);
        List<String> all = homesAndDeputy(account).subList(0, parts);
        int first = Math.floorMod(entry.hashCode(), parts);
        return IntStream.range(0, parts)
                .mapToObj(i -> all.get((first + i) % parts))
                .sorted(Comparator.comparing((String e) -> !e.equals(entry)))
                .toList();
    }

    /** Returns the entry to draw from when a home does not respond. */
    Optional<String> deputy(Account account) {
        return homesAndDeputy(account).stream().skip(partCount(account)).findFirst();
    }
}
