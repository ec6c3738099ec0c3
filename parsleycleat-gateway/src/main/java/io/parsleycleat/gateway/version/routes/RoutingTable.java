package io.parsleycleat.gateway.version.routes;

import io.parsleycleat.core.connection.caller.CallerLimits;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the configuration, indexed for look-ups.
 *
 * <p>Created for each version that is received; immutable and safe to share between threads.
 */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceSpec> services;
    private final Map<String, Account> accountsByKey;
    private final boolean requiresKeys;
    private final List<Account> accounts;
    private final CallerLimits limits;

    /**
     * Indexes one version.
     *
     * @param accounts the accounts whose keys requests need; absent if no request needs a key. With a list that holds
     *     no account, no key is valid, and only open routes are served
     */
    public RoutingTable(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            Optional<List<Account>> accounts,
            CallerLimits limits) {
        this.version = version;
        this.routesByHost = routes.stream()
                .sorted(Comparator.comparingInt((Route r) -> r.pathPrefix().length())
                        .reversed())
                .collect(Collectors.groupingBy(r -> r.host().toLowerCase(Locale.ROOT)));
        this.services = services.stream().collect(Collectors.toUnmodifiableMap(ServiceSpec::name, Function.identity()));
        this.requiresKeys = accounts.isPresent();
        this.accounts = List.copyOf(accounts.orElse(List.of()));
        this.accountsByKey = this.accounts.stream()
                .flatMap(a -> a.keys().stream().map(k -> Map.entry(k, a)))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, (first, second) -> first));
        this.limits = limits;
    }

    /** Returns the version's number; later versions have higher ones. */
    public long version() {
        return version;
    }

    /** Returns the route with the longest prefix of the path, among those of the host. */
    public Optional<Route> route(String host, String path) {
        int port = host.lastIndexOf(':');
        String name = (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
        return routesByHost.getOrDefault(name, List.of()).stream()
                .filter(r -> path.startsWith(r.pathPrefix()))
                .findFirst();
    }

    /** Returns a service by name. */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the shortest pause limit among the routes that lead to a service; zero if none has one. */
    public Duration maxEventPause(String service) {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(r -> !r.maxEventPause().isZero()
                        && r.shares().stream().anyMatch(s -> s.service().equals(service)))
                .map(Route::maxEventPause)
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /** Returns the account that holds a key. */
    public Optional<Account> accountOfKey(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Returns all accounts. */
    public List<Account> accounts() {
        return accounts;
    }

    /** Returns whether requests need a key, except on open routes. */
    public boolean requiresKeys() {
        return requiresKeys;
    }

    /** Returns the limits on the size and duration of requests from callers. */
    public CallerLimits limits() {
        return limits;
    }
}
