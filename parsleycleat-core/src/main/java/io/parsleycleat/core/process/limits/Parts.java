package io.parsleycleat.core.process.limits;

import io.parsleycleat.core.process.membership.Epoch;
import io.parsleycleat.wire.escrow.EpochMember;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Says which entries hold the parts of an account's budget in an epoch: a rendezvous hash within each region.
 *
 * <p>Stateless.
 */
final class Parts {
    /** Equal parts of each budget, and so the largest number of homes. */
    static final int COUNT = 4;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Parts() {}

    /** Returns the owner of each part; empty when the epoch has no members. */
    static List<EpochMember> owners(String accountId, Epoch epoch) {
        List<String> regions = epoch.members().stream()
                .map(EpochMember::getRegion)
                .distinct()
                .sorted(Comparator.comparingLong((String r) -> score(accountId, r, 0))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
        if (regions.isEmpty()) {
            return List.of();
        }
        Set<String> taken = new HashSet<>();
        return IntStream.range(0, COUNT)
                .mapToObj(part -> owner(accountId, part, regions.get(part % regions.size()), epoch, taken))
                .toList();
    }

    /** Returns the homes, each once, in the order in which an entry asks them: itself, then the nearest. */
    static List<EpochMember> homesFor(String accountId, Epoch epoch, String vmName, String dataCentre, String region) {
        return owners(accountId, epoch).stream()
                .distinct()
                .sorted(Comparator.comparingInt((EpochMember m) -> distance(m, vmName, dataCentre, region))
                        .thenComparingLong(m -> score(vmName, accountId + m.getVmName(), 0)))
                .toList();
    }

    /** Returns the owner of one part, if the epoch has members. */
    static Optional<EpochMember> owner(String accountId, int part, Epoch epoch) {
        return owners(accountId, epoch).stream().skip(part).findFirst();
    }

    private static EpochMember owner(String accountId, int part, String region, Epoch epoch, Set<String> taken) {
        EpochMember best = epoch.members().stream()
                .filter(m -> m.getRegion().equals(region))
                .min(Comparator.comparing((EpochMember m) -> taken.contains(m.getVmName()))
                        .thenComparing(
                                Comparator.comparingLong((EpochMember m) -> score(accountId, m.getVmName(), part))
                                        .reversed())
                        .thenComparing(EpochMember::getVmName))
                .orElseThrow();
        taken.add(best.getVmName());
        return best;
    }

    private static int distance(EpochMember m, String vmName, String dataCentre, String region) {
        if (m.getVmName().equals(vmName)) {
            return 0;
        }
        if (m.getDataCentre().equals(dataCentre)) {
            return 1;
        }
        return m.getRegion().equals(region) ? 2 : 3;
    }

    private static long score(String key, String name, int part) {
        long hash = FNV_OFFSET;
        for (byte b : (key + '\0' + name + '\0' + part).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
