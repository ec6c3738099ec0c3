package io.parsleycleat.core.version.configuration;

import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Quarantine;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Upstream;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A state of the log together with the key withdrawals that are in force but not in the log yet.
 *
 * <p>Created by {@link StateHolder}; immutable and safe to share between threads.
 *
 * @param withdrawals the unrecorded withdrawals by key id
 */
record KnownConfiguration(ConfigurationState state, Map<String, Change> withdrawals) implements ConfigurationView {
    static final KnownConfiguration NOTHING = new KnownConfiguration(ConfigurationState.EMPTY, Map.of());

    KnownConfiguration {
        withdrawals = Map.copyOf(withdrawals);
    }

    /** Returns a copy with a later state. Withdrawals that it records are no longer kept beside it. */
    KnownConfiguration withState(ConfigurationState newState) {
        return new KnownConfiguration(newState, unrecorded(newState, withdrawals.values()));
    }

    /** Returns a copy with further withdrawals; this object when all are known. */
    KnownConfiguration withWithdrawals(Collection<Change> more) {
        Map<String, Change> all = unrecorded(
                state,
                Stream.concat(withdrawals.values().stream(), more.stream()).toList());
        return all.size() == withdrawals.size() ? this : new KnownConfiguration(state, all);
    }

    private static Map<String, Change> unrecorded(ConfigurationState state, Collection<Change> withdrawals) {
        return withdrawals.stream()
                .filter(change -> ChangeRules.isWithdrawal(change) && !state.isWithdrawn(change.getItemId()))
                .filter(change -> ChangeRules.fault(state, change).isEmpty())
                .collect(Collectors.toMap(Change::getItemId, Function.identity(), (first, second) -> first));
    }

    @Override
    public long version() {
        return state.version();
    }

    @Override
    public boolean isWithdrawn(String keyId) {
        return withdrawals.containsKey(keyId) || state.isWithdrawn(keyId);
    }

    @Override
    public Optional<Account> account(String id) {
        return state.account(id);
    }

    @Override
    public Optional<Key> key(String id) {
        return state.key(id);
    }

    @Override
    public Optional<Route> route(String id) {
        return state.route(id);
    }

    @Override
    public Optional<Adapter> adapter(String id) {
        return state.adapter(id);
    }

    @Override
    public Optional<Upstream> upstream(String id) {
        return state.upstream(id);
    }

    @Override
    public Optional<Quarantine> quarantine(String fingerprint) {
        return state.quarantine(fingerprint);
    }

    @Override
    public Collection<Quarantine> quarantines() {
        return state.quarantines();
    }

    @Override
    public Collection<Account> accounts() {
        return state.accounts();
    }

    @Override
    public Collection<Route> routes() {
        return state.routes();
    }

    @Override
    public Collection<Adapter> adapters() {
        return state.adapters();
    }

    @Override
    public Collection<Upstream> upstreams() {
        return state.upstreams();
    }
}
