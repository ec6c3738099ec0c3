package io.parsleycleat.core.process.membership;

import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.EpochRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Folds the records of epochs in log order: the first record with a higher number than all before it counts.
 *
 * <p>Created by {@link EpochKeeper}, whose lock guards it.
 */
final class EpochHistory {
    private static final int KEPT_EPOCHS = 256;

    private final Deque<EpochRecord> records = new ArrayDeque<>();
    private Epoch newest = Epoch.NONE;

    /** Returns the epoch that a record starts, unless another came first. */
    Optional<Epoch> fold(EpochRecord entry) {
        if (entry.getEpoch() <= newest.number()) {
            return Optional.empty();
        }
        newest = Epoch.of(entry);
        records.addLast(entry);
        if (records.size() > KEPT_EPOCHS) {
            records.removeFirst();
        }
        return Optional.of(newest);
    }

    Epoch newest() {
        return newest;
    }

    /** Returns the kept records from an epoch on. */
    List<EpochRecord> from(long number) {
        return records.stream().filter(r -> r.getEpoch() >= number).toList();
    }

    /** Returns the kept epochs, oldest first. */
    List<Epoch> epochs() {
        return records.stream().map(Epoch::of).toList();
    }

    /** Returns an entry as the newest epoch that it belongs to names it. */
    Optional<EpochMember> lastMember(String vmName) {
        return Stream.iterate(records.descendingIterator(), Iterator::hasNext, it -> it)
                .map(Iterator::next)
                .flatMap(r -> r.getMembersList().stream())
                .filter(m -> m.getVmName().equals(vmName))
                .findFirst();
    }

    /** Returns the other members of a region in the newest epochs that an entry belonged to there. */
    List<List<EpochMember>> neighbours(String vmName, String region, int epochCount) {
        List<List<EpochMember>> found = new ArrayList<>();
        records.descendingIterator().forEachRemaining(r -> {
            Optional<EpochMember> member = r.getMembersList().stream()
                    .filter(m -> m.getVmName().equals(vmName) && m.getRegion().equals(region))
                    .findFirst();
            if (member.isPresent() && found.size() < epochCount) {
                found.add(r.getMembersList().stream()
                        .filter(m ->
                                m.getRegion().equals(region) && !m.getVmName().equals(vmName))
                        .toList());
            }
        });
        return found;
    }
}
