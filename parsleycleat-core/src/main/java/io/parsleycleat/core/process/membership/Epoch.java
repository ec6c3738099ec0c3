package io.parsleycleat.core.process.membership;

import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.EpochRecord;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The entries that hold budgets between two membership changes.
 *
 * <p>Created from records of the membership stream; immutable and safe to share.
 */
public record Epoch(long number, List<EpochMember> members) {
    /** Before any epoch is known. */
    public static final Epoch NONE = new Epoch(0, List.of());

    public Epoch {
        members = members.stream()
                .sorted(Comparator.comparing(EpochMember::getVmName))
                .toList();
    }

    /** Returns the epoch that a record starts. */
    public static Epoch of(EpochRecord entry) {
        return new Epoch(entry.getEpoch(), entry.getMembersList());
    }

    /** Returns the record that starts this epoch. */
    public EpochRecord toRecord(String author, long wallMillis) {
        return EpochRecord.newBuilder()
                .setEpoch(number)
                .addAllMembers(members)
                .setAuthor(author)
                .setTimeMillis(wallMillis)
                .build();
    }

    /** Returns the member on a VM. */
    public Optional<EpochMember> member(String vmName) {
        return members.stream().filter(m -> m.getVmName().equals(vmName)).findFirst();
    }
}
