package io.parsleycleat.standin.measure.routing;

import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Quarantine;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.configuration.UpstreamKind;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** A configuration of nothing but model engines that never changes. Created for each run; immutable. */
final class FixedConfiguration implements ConfigurationSource, ConfigurationView {
    private final Map<String, Upstream> upstreams;

    FixedConfiguration(List<Vm> sides) {
        upstreams = sides.stream()
                .map(vm -> Upstream.newBuilder()
                        .setId(vm.upstreamId())
                        .setKind(UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE)
                        .setBaseModel("base")
                        .build())
                .collect(Collectors.toUnmodifiableMap(Upstream::getId, u -> u));
    }

    @Override
    public ConfigurationView current() {
        return this;
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void onChange(Consumer<ConfigurationView> listener) {
        listener.accept(this);
    }

    @Override
    public long version() {
        return 1;
    }

    @Override
    public Optional<Account> account(String id) {
        return Optional.empty();
    }

    @Override
    public Optional<Key> key(String id) {
        return Optional.empty();
    }

    @Override
    public boolean isWithdrawn(String keyId) {
        return false;
    }

    @Override
    public Optional<Route> route(String id) {
        return Optional.empty();
    }

    @Override
    public Optional<Adapter> adapter(String id) {
        return Optional.empty();
    }

    @Override
    public Optional<Upstream> upstream(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    @Override
    public Optional<Quarantine> quarantine(String fingerprint) {
        return Optional.empty();
    }

    @Override
    public Collection<Account> accounts() {
        return List.of();
    }

    @Override
    public Collection<Route> routes() {
        return List.of();
    }

    @Override
    public Collection<Adapter> adapters() {
        return List.of();
    }

    @Override
    public Collection<Upstream> upstreams() {
        return upstreams.values();
    }
}
