package io.parsleycleat.gateway.version.upstreams;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.gateway.version.follow.KeyedLogListener;
import java.util.Optional;
import java.util.function.BiFunction;

/**
 * Applies upstreams' descriptions to the directory. Malformed descriptions change nothing.
 *
 * <p>One per process; called by one follower.
 */
public final class UpstreamDirectoryUpdater implements KeyedLogListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final BiFunction<String, byte[], Optional<Upstream>> decoder;
    private final UpstreamDirectory directory;

    /**
     * Creates an updater of a directory.
     *
     * @param decoder decodes the description of the upstream with the given id; empty if it is malformed
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
                .log("a description of %d bytes cannot be decoded; ignored", value.length));
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
