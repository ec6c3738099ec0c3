package io.parsleycleat.gateway.version.routes;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration version that this process has received. It is never replaced by an earlier version.
 *
 * <p>One per process; safe to share between threads.
 */
public final class ConfigurationHolder {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final AtomicReference<@Nullable RoutingTable> current = new AtomicReference<>();
    private final List<Consumer<RoutingTable>> listeners = new CopyOnWriteArrayList<>();

    /** Adds a listener that is called with each version that comes into force. */
    public void addListener(Consumer<RoutingTable> listener) {
        listeners.add(listener);
    }

    /** Puts a version into force, unless the one in force is as new or newer. */
    public void applyIfNewer(RoutingTable table) {
        RoutingTable before = current.getAndAccumulate(
                table, (old, offered) -> old == null || offered.version() > old.version() ? offered : old);
        if (before != null && before.version() >= table.version()) {
            logger.atInfo().log("configuration %d is not newer than %d; ignored", table.version(), before.version());
            return;
        }
        logger.atInfo().log("configuration %d in force", table.version());
        listeners.forEach(l -> notifyListener(l, table));
    }

    /** Tells one listener. What it throws is logged, so that the others learn of the version as well. */
    private static void notifyListener(Consumer<RoutingTable> listener, RoutingTable table) {
        try {
            listener.accept(table);
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log("a listener failed at configuration %d", table.version());
        }
    }

    /** Returns the version in force, if there is one. */
    public Optional<RoutingTable> current() {
        return Optional.ofNullable(current.get());
    }
}
