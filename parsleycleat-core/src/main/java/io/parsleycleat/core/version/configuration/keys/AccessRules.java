package io.parsleycleat.core.version.configuration.keys;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Route;
import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides which routes and adapters a caller may use, and which account is charged.
 *
 * <p>What belongs to another account is answered exactly as what does not exist, so that answers tell nothing about
 * other accounts. Stateless.
 */
public final class AccessRules {
    private AccessRules() {}

    /** A target that a caller may use and the account that is charged. Created by these rules; immutable. */
    public record Access<T>(T target, Account account) {
        public Access {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(account, "account");
        }
    }

    /**
     * Returns the route with an id for the holder of a key, or for a caller without one.
     *
     * @param key a key that the {@link KeyGate} let pass
     */
    public static Either<Refusal, Access<Route>> route(ConfigurationView view, @Nullable Key key, String routeId) {
        Optional<Route> route = view.route(routeId);
        if (key == null) {
            return unkeyed(view, route.filter(Route::getOpenToAll), route.orElse(Route.getDefaultInstance()));
        }
        return route.filter(r -> r.getOpenToAll() || isAllowed(view, key, r))
                .map(r -> keyed(view, key, r))
                .orElseGet(() -> Either.left(Refusal.of(ResultCode.ROUTE_UNKNOWN)));
    }

    /**
     * Returns the adapter with an id for the holder of a key, or for a caller without one. A route open to all opens
     * its adapter, too.
     *
     * @param key a key that the {@link KeyGate} let pass
     */
    public static Either<Refusal, Access<Adapter>> adapter(
            ConfigurationView view, @Nullable Key key, String adapterId) {
        Optional<Adapter> adapter = view.adapter(adapterId);
        if (key == null) {
            Optional<Route> open = adapter.flatMap(a -> openRoute(view, a));
            return unkeyed(view, open, adapter.orElse(Adapter.getDefaultInstance()));
        }
        return adapter.filter(a -> isVisible(a, key) || openRoute(view, a).isPresent())
                .map(a -> keyed(view, key, a))
                .orElseGet(() -> Either.left(Refusal.of(ResultCode.ADAPTER_UNKNOWN)));
    }

    /** Returns the adapters that the holder of a key may use. */
    public static List<Adapter> adapters(ConfigurationView view, Key key) {
        return view.adapters().stream().filter(a -> isVisible(a, key)).toList();
    }

    /** Returns the version of an adapter that a request asks for; the current one when it names none. */
    public static Either<Refusal, String> version(Adapter adapter, String version) {
        if (version.isEmpty()) {
            return Either.right(adapter.getCurrentVersion());
        }
        return adapter.getVersionsList().contains(version)
                ? Either.right(version)
                : Either.left(Refusal.of(ResultCode.VERSION_UNKNOWN));
    }

    private static <T> Either<Refusal, Access<T>> keyed(ConfigurationView view, Key key, T target) {
        return view.account(key.getAccountId())
                .map(account -> Either.<Refusal, Access<T>>right(new Access<>(target, account)))
                .orElseGet(() -> Either.left(Refusal.of(ResultCode.KEY_UNKNOWN)));
    }

    private static <T> Either<Refusal, Access<T>> unkeyed(ConfigurationView view, Optional<Route> open, T target) {
        return open.flatMap(r -> view.account(r.getUnkeyedAccountId()))
                .map(account -> Either.<Refusal, Access<T>>right(new Access<>(target, account)))
                .orElseGet(() -> Either.left(Refusal.of(ResultCode.KEY_MISSING)));
    }

    private static boolean isAllowed(ConfigurationView view, Key key, Route route) {
        boolean listed =
                route.getAccountIdsList().isEmpty() || route.getAccountIdsList().contains(key.getAccountId());
        boolean targetVisible = !route.hasAdapterId()
                || view.adapter(route.getAdapterId())
                        .filter(a -> isVisible(a, key))
                        .isPresent();
        return listed && targetVisible;
    }

    private static boolean isVisible(Adapter adapter, Key key) {
        String owner = adapter.getOwnerAccountId();
        return owner.isEmpty() || owner.equals(key.getAccountId());
    }

    private static Optional<Route> openRoute(ConfigurationView view, Adapter adapter) {
        return view.routes().stream()
                .filter(r -> r.getOpenToAll() && r.getAdapterId().equals(adapter.getId()))
                .findFirst();
    }
}
