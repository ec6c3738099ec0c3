package io.parsleycleat.core.version.configuration;

import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Quarantine;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Upstream;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** The configuration as of one version. Immutable and safe to share between threads. */
public interface ConfigurationView {
    /** Returns the offset of the next record that is not part of this view. */
    long version();

    /** Returns an account. */
    Optional<Account> account(String id);

    /** Returns a key that was issued, whether or not it is withdrawn. */
    Optional<Key> key(String id);

    /** Returns whether a key is withdrawn. */
    boolean isWithdrawn(String keyId);

    /** Returns a route. */
    Optional<Route> route(String id);

    /** Returns an adapter. */
    Optional<Adapter> adapter(String id);

    /** Returns an upstream. */
    Optional<Upstream> upstream(String id);

    /** Returns a request's quarantine, whether or not it has ended. */
    Optional<Quarantine> quarantine(String fingerprint);

    /** Returns the quarantines, whether or not they have ended; a view that keeps none returns nothing. */
    default Collection<Quarantine> quarantines() {
        return List.of();
    }

    /** Returns all accounts. */
    Collection<Account> accounts();

    /** Returns all routes. */
    Collection<Route> routes();

    /** Returns all adapters. */
    Collection<Adapter> adapters();

    /** Returns all upstreams. */
    Collection<Upstream> upstreams();
}
