package io.parsleycleat.standin.measure.limits;

import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Quarantine;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Upstream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A configuration of accounts only, as one process knows it.
 *
 * <p>Created for each simulated process and used by one thread.
 */
final class SimulatedAccounts implements ConfigurationSource {
    /** Accounts as of one version. */
    private record View(long version, Map<String, Account> byId) implements ConfigurationView {
        @Override
        public Optional<Account> account(String id) {
            return Optional.ofNullable(byId.get(id));
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
            return Optional.empty();
        }

        @Override
        public Optional<Quarantine> quarantine(String fingerprint) {
            return Optional.empty();
        }

        @Override
        public Collection<Account> accounts() {
            return byId.values();
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
            return List.of();
        }
    }

    private final List<Consumer<ConfigurationView>> listeners = new ArrayList<>();
    private View view;

    SimulatedAccounts(Collection<Account> accounts) {
        Map<String, Account> byId = new TreeMap<>();
        accounts.forEach(a -> byId.put(a.getId(), a));
        view = new View(1, byId);
    }

    void put(Account account) {
        Map<String, Account> byId = new TreeMap<>(view.byId());
        byId.put(account.getId(), account);
        view = new View(view.version() + 1, byId);
        listeners.forEach(l -> l.accept(view));
    }

    @Override
    public ConfigurationView current() {
        return view;
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void onChange(Consumer<ConfigurationView> listener) {
        listeners.add(listener);
        listener.accept(view);
    }
}
