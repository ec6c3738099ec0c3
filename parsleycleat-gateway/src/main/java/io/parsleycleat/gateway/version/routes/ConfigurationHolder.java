package io.parsleycleat.gateway.version.routes;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The newest configuration version that this process has seen. It never goes back to an earlier one.
 *
 * <p>One a process; safe to share between threads.
 */
public final class ConfigurationHolder {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final AtomicReference<@Nullable RoutingTable> current = new AtomicReference<>();
    private final List<Consumer<RoutingTable>> listeners = new CopyOnWriteArrayList<>();

    /** Calls back with each version that comes into force. */
    public void addListener(Consumer<RoutingTable> listener) {
        listeners.add(listener);
    }

    /** Takes a version into force, unless a later one is known. */
    public void applyIfNewer(RoutingTable table) {
        RoutingTable before = current.getAndAccumulate(
                table, (old, offered) -> old == null || offered.version() > old.version() ? offered : old);
        if (before != null && before.version() >= table.version()) {
            logger.atInfo().log("configuration %d is older than %d; kept", table.version(), before.version());
            return;
        }
        logger.atInfo().log("configuration %d in force", table.version());
        listeners.forEach(l -> l.accept(table));
    }

    /** Returns the version in force, if one is known. */
    public Optional<RoutingTable> current() {
        return Optional.ofNullable(current.get());
    }
}
