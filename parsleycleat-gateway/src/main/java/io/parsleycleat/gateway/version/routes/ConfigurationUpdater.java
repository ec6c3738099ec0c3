package io.parsleycleat.gateway.version.routes;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.version.follow.KeyedLogListener;
import io.parsleycleat.gateway.version.upstreams.DrainedDataCentres;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Applies operators' records to the configuration, the adapter versions and the drained data centres of a process. The
 * deletion of a record that drains a data centre ends the drain; other deletions and malformed records change nothing.
 * Malformed ones are counted until a usable record replaces them, since requests are served meanwhile by what was known
 * before.
 *
 * <p>One per process; called by one follower.
 */
public final class ConfigurationUpdater implements KeyedLogListener {
    /** Number of malformed records that are counted at most. */
    public static final int MAX_REFUSED_RECORDS = 1_000;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ConfigurationDecoder decoder;
    private final ConfigurationHolder holder;
    private final AdapterVersions versions;
    private final DrainedDataCentres drained;
    private final TimeSource time;
    private final Set<String> refusedKeys = ConcurrentHashMap.newKeySet();

    /** Creates an updater of a process's configuration, adapter versions and drained data centres. */
    public ConfigurationUpdater(
            ConfigurationDecoder decoder,
            ConfigurationHolder holder,
            AdapterVersions versions,
            DrainedDataCentres drained,
            TimeSource time) {
        this.decoder = decoder;
        this.holder = holder;
        this.versions = versions;
        this.drained = drained;
        this.time = time;
    }

    /** Returns the number of keys whose newest record is not in use because it is malformed. */
    public int refusedRecords() {
        return refusedKeys.size();
    }

    @Override
    public void onPut(String key, byte[] value) {
        try {
            apply(key, value);
        } catch (PlatformException e) {
            if (refusedKeys.size() < MAX_REFUSED_RECORDS) {
                refusedKeys.add(key);
            }
            throw e;
        }
        refusedKeys.remove(key);
    }

    private void apply(String key, byte[] value) {
        Optional<String> dataCentre = decoder.drainedDataCentre(key);
        dataCentre.ifPresent(drained::drain);
        if (dataCentre.isPresent()) {
            return;
        }
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
                                    "it holds no configuration or adapter version and drains no data centre",
                                    Location.of(key));
                        });
    }

    @Override
    public void onDelete(String key, boolean afterOutage) {
        refusedKeys.remove(key);
        decoder.drainedDataCentre(key)
                .ifPresentOrElse(
                        afterOutage ? drained::endAfterGrace : drained::end,
                        () -> logger.atInfo().log("operators' record %s was deleted; its content stays in force", key));
    }

    @Override
    public void onOutageGraceEnd() {
        drained.onGraceEnd();
    }
}
