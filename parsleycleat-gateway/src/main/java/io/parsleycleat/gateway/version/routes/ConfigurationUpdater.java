package io.parsleycleat.gateway.version.routes;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.follow.KeyedLogListener;
import java.util.Optional;

/**
 * Applies operators' records to the configuration and the adapter versions of a process. Malformed records and
 * deletions change nothing.
 *
 * <p>One per process; called by one follower.
 */
public final class ConfigurationUpdater implements KeyedLogListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ConfigurationDecoder decoder;
    private final ConfigurationHolder holder;
    private final AdapterVersions versions;
    private final TimeSource time;

    /** Creates an updater of a process's configuration and adapter versions. */
    public ConfigurationUpdater(
            ConfigurationDecoder decoder, ConfigurationHolder holder, AdapterVersions versions, TimeSource time) {
        this.decoder = decoder;
        this.holder = holder;
        this.versions = versions;
        this.time = time;
    }

    @Override
    public void onPut(String key, byte[] value) {
        Optional<RoutingTable> table = decoder.table(key, value);
        table.ifPresent(holder::applyIfNewer);
        if (table.isPresent()) {
            return;
        }
        decoder.version(key, value)
                .ifPresentOrElse(
                        named -> {
                            if (versions.recordVersion(named.adapter(), named.version(), time.monotonicNanos())) {
                                logger.atInfo()
                                        .with(LogKeys.ADAPTER, named.adapter().toString())
                                        .log("version %d named", named.version());
                            }
                        },
                        () -> {
                            throw new PlatformException(
                                    ResultCode.PLATFORM_ANSWER_MALFORMED,
                                    "it holds no configuration or adapter version",
                                    Location.of(key));
                        });
    }

    @Override
    public void onDelete(String key, boolean afterOutage) {
        logger.atInfo().log("operators' record %s was deleted; its content stays in force", key);
    }
}
