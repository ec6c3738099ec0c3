package io.parsleycleat.gateway.version.upstreams;

import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.version.follow.KeyedLogListener;
import java.util.Optional;
import java.util.function.BiFunction;

/**
 * Applies upstreams' descriptions to the directory. A malformed description names no upstream to use: one that is
 * known under its key gets nothing new, and nothing else changes.
 *
 * <p>One per process; called by one follower.
 */
public final class UpstreamDirectoryUpdater implements KeyedLogListener {
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
        decoder.apply(key, value).ifPresentOrElse(directory::put, () -> {
            directory.markUndescribed(key);
            throw new PlatformException(
                    ResultCode.PLATFORM_ANSWER_MALFORMED, "it describes no upstream", Location.of(key));
        });
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
