package io.parsleycleat.core.version.configuration;

import io.parsleycleat.core.connection.platform.Vm;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Ranks the processes of a data centre by rendezvous hash. The first ones read the log, the others ask them.
 *
 * <p>Processes with the same VM list agree without a message; where the lists differ, a process that is asked reads the
 * log for the asker. Created for each list that is looked at; immutable.
 */
final class TailerRanking {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX = 0xff51afd7ed558ccdL;
    private static final int MIX_SHIFT = 33;
    private static final int SUBSTITUTES = 3;

    private final List<Vm> vms;
    private final int tailers;

    TailerRanking(List<Vm> vms, int tailersPerDataCentre) {
        this.vms = vms.stream()
                .filter(vm -> !vm.leaving())
                .sorted(Comparator.comparingLong((Vm vm) -> hash("tailer", vm.name()))
                        .thenComparing(Vm::name))
                .toList();
        this.tailers = tailersPerDataCentre;
    }

    /** Returns the processes of a data centre that read the log. */
    List<Vm> tailers(String dataCentre) {
        return in(dataCentre).limit(tailers).toList();
    }

    /** Returns the processes of all other data centres that read the log. */
    List<Vm> tailersOutside(String dataCentre) {
        return vms.stream()
                .map(Vm::dataCentre)
                .distinct()
                .filter(other -> !other.equals(dataCentre))
                .flatMap(other -> in(other).limit(tailers))
                .toList();
    }

    /** Returns all processes that read the log, but for one. */
    List<Vm> allTailersBut(String vmName) {
        return vms.stream()
                .map(Vm::dataCentre)
                .distinct()
                .flatMap(dataCentre -> in(dataCentre).limit(tailers))
                .filter(vm -> !vm.name().equals(vmName))
                .toList();
    }

    /** Returns whether a process is one of those that read the log. */
    boolean isTailer(String dataCentre, String vmName) {
        return tailers(dataCentre).stream().anyMatch(vm -> vm.name().equals(vmName));
    }

    /** Returns the place of a process among all that read the log; their number when it is none of them. */
    int rank(String vmName) {
        List<String> names = allTailersBut("").stream()
                .sorted(Comparator.comparingLong((Vm vm) -> hash("rank", vm.name())))
                .map(Vm::name)
                .toList();
        int place = names.indexOf(vmName);
        return place < 0 ? names.size() : place;
    }

    /**
     * Returns whom a process asks, in this order: the tailers of its data centre, starting with one that differs from
     * asker to asker, their substitutes, and the tailers of other data centres.
     */
    List<Vm> sources(String dataCentre, String vmName) {
        Comparator<Vm> spread = Comparator.comparingLong(vm -> hash(vmName, vm.name()));
        Stream<Vm> near = Stream.concat(
                in(dataCentre).limit(tailers).sorted(spread),
                in(dataCentre).skip(tailers).limit(SUBSTITUTES));
        return Stream.concat(near, tailersOutside(dataCentre).stream().sorted(spread))
                .filter(vm -> !vm.name().equals(vmName))
                .toList();
    }

    private Stream<Vm> in(String dataCentre) {
        return vms.stream().filter(vm -> vm.dataCentre().equals(dataCentre));
    }

    private static long hash(String salt, String text) {
        long h = FNV_OFFSET;
        for (byte b : (salt + '/' + text).getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ b) * FNV_PRIME;
        }
        h = (h ^ (h >>> MIX_SHIFT)) * MIX;
        return h ^ (h >>> MIX_SHIFT);
    }
}
