package io.parsleycleat.gateway.version.upstreams;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.gateway.version.follow.KeyedLogListener;
import java.util.Optional;
import java.util.function.BiFunction;

/**
 * Brings upstreams' descriptions into the directory. One that cannot be read changes nothing.
 *
 * <p>One a process; called by one follower.
 */
public final class UpstreamDirectoryUpdater implements KeyedLogListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final BiFunction<String, byte[], Optional<Upstream>> decoder;
    private final UpstreamDirectory directory;

    /**
     * Creates a fold into a directory.
     *
     * @param decoder reads an upstream's description by its id, or nothing when it is not well-formed
     */
    public UpstreamDirectoryUpdater(
            BiFunction<String, byte[], Optional<Upstream>> decoder, UpstreamDirectory directory) {
        this.decoder = decoder;
        this.directory = directory;
    }

    @Override
    public void onPut(String key, byte[] value) {
        decoder.apply(key, value).ifPresentOrElse(directory::put, () -> logger.atWarning()
                .with(LogKeys.UPSTREAM, key)
                .log("a description of %d bytes cannot be read", value.length));
    }

    @Override
    public void onDelete(String key, boolean afterOutage) {
        if (afterOutage) {
            directory.markExpired(key);
        } else {
            directory.remove(key);
        }
    }

    @Override
    public void onOutageGraceEnd() {
        directory.removeExpired();
    }
}
