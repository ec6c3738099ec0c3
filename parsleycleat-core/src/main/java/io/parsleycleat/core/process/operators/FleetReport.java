package io.parsleycleat.core.process.operators;

import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.version.configuration.ConfigurationStore;
import io.parsleycleat.wire.operators.FleetMember;
import io.parsleycleat.wire.operators.FleetResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Tells operators about the processes of the fleet: those of the VM list and, when asked, what each answers.
 *
 * <p>Created once by the {@link OperatorsService}; safe to share between threads.
 */
final class FleetReport {
    private static final int ASKED_AT_ONCE = 32;

    private final ConfigurationStore store;
    private final Membership membership;

    FleetReport(ConfigurationStore store, Membership membership) {
        this.store = store;
        this.membership = membership;
    }

    CompletableFuture<FleetResponse> create(boolean askMembers) {
        List<Vm> vms = membership.vms();
        CompletableFuture<List<FleetMember>> members = askMembers
                ? askFrom(vms, 0, new ArrayList<>())
                : CompletableFuture.completedFuture(
                        vms.stream().map(vm -> member(vm).build()).toList());
        return members.thenApply(list -> FleetResponse.newBuilder()
                .addAllMembers(list)
                .setConfigurationVersion(store.version())
                .setLogReachable(store.isLogReachable())
                .build());
    }

    /** Asks a few members at a time, so that a large fleet does not answer all at once. */
    private CompletableFuture<List<FleetMember>> askFrom(List<Vm> vms, int from, List<FleetMember> done) {
        if (from >= vms.size()) {
            return CompletableFuture.completedFuture(done);
        }
        List<CompletableFuture<FleetMember>> asked =
                vms.stream().skip(from).limit(ASKED_AT_ONCE).map(this::ask).toList();
        return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new)).thenCompose(all -> {
            asked.forEach(member -> done.add(member.join()));
            return askFrom(vms, from + ASKED_AT_ONCE, done);
        });
    }

    private CompletableFuture<FleetMember> ask(Vm vm) {
        return store.askVersion(vm)
                .handle((version, failure) -> failure == null
                        ? member(vm)
                                .setReachable(true)
                                .setConfigurationVersion(version)
                                .build()
                        : member(vm).setDetail("does not answer").build());
    }

    private static FleetMember.Builder member(Vm vm) {
        return FleetMember.newBuilder()
                .setVmName(vm.name())
                .setRole(vm.role().label())
                .setPeerAddress(vm.peerAddress())
                .setDataCentre(vm.dataCentre())
                .setRegion(vm.region())
                .setUpstreamId(vm.upstreamId())
                .setLeaving(vm.leaving());
    }
}
