package io.parsleycleat.core.request.routing;

import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.configuration.UpstreamKind;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The sides that may take requests, by base model and by service, as of one VM list and one configuration.
 *
 * <p>Created by the selector when either changed; immutable and safe to share.
 */
record UpstreamIndex(
        List<Vm> source, ConfigurationView view, Map<String, List<Vm>> models, Map<String, List<Vm>> services) {
    static UpstreamIndex of(List<Vm> vms, ConfigurationView view) {
        return new UpstreamIndex(
                vms,
                view,
                group(vms, view, UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE, Upstream::getBaseModel),
                group(vms, view, UpstreamKind.UPSTREAM_KIND_PLAIN_SERVICE, Upstream::getService));
    }

    boolean isOf(List<Vm> vms, ConfigurationView otherView) {
        return source == vms && view == otherView;
    }

    List<Vm> forModel(String baseModel) {
        return models.getOrDefault(baseModel, List.of());
    }

    List<Vm> forService(String service) {
        return services.getOrDefault(service, List.of());
    }

    private static Map<String, List<Vm>> group(
            List<Vm> vms, ConfigurationView view, UpstreamKind kind, Function<Upstream, String> name) {
        return vms.stream()
                .filter(vm -> vm.role() == ProcessRole.SIDE && !vm.leaving())
                .flatMap(vm -> upstreamOf(vm, view, kind).stream().map(u -> Map.entry(name.apply(u), vm)))
                .collect(Collectors.groupingBy(
                        Map.Entry::getKey, Collectors.mapping(Map.Entry::getValue, Collectors.toUnmodifiableList())));
    }

    private static Optional<Upstream> upstreamOf(Vm vm, ConfigurationView view, UpstreamKind kind) {
        return view.upstream(vm.upstreamId()).filter(u -> u.getKind() == kind);
    }
}
