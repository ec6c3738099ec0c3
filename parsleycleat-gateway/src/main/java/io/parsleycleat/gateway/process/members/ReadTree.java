package io.parsleycleat.gateway.process.members;

import io.parsleycleat.core.request.routing.RendezvousHash;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Arranges the entries of a data centre in a tree for reading logs: the root reads the store, every other entry reads
 * through its parent.
 *
 * <p>All entries with the same view of the others compute the same tree. Stateless.
 */
final class ReadTree {
    /** Maximum number of entries that read through the same entry. */
    private static final int FAN_OUT = 8;

    private ReadTree() {}

    /**
     * The position of an entry in the tree.
     *
     * @param depth the number of entries between this one and the store
     * @param parent the peer address of the entry to read through; absent at the root
     */
    record Position(int depth, Optional<String> parent) {}

    /** Returns the position of an entry in the tree of its data centre; entries of other data centres are ignored. */
    static Position position(String self, String dataCentre, Map<String, EntryMembers.Member> others) {
        List<String> names = Stream.concat(
                        Stream.of(self),
                        others.entrySet().stream()
                                .filter(e -> e.getValue().dataCentre().equals(dataCentre))
                                .map(Map.Entry::getKey))
                .toList();
        List<String> order = RendezvousHash.order(dataCentre, names, n -> n);
        int rank = order.indexOf(self);
        if (rank == 0) {
            return new Position(0, Optional.empty());
        }
        String parent = order.get((rank - 1) / FAN_OUT);
        return new Position(depth(rank), Optional.ofNullable(others.get(parent)).map(EntryMembers.Member::peerAddress));
    }

    private static int depth(int rank) {
        return (int) Stream.iterate(rank, r -> r > 0, r -> (r - 1) / FAN_OUT).count();
    }
}
