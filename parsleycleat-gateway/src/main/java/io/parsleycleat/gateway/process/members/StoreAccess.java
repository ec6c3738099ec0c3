package io.parsleycleat.gateway.process.members;

import io.parsleycleat.gateway.process.gate.OrderLoop;
import io.parsleycleat.gateway.version.follow.KeyedLog;
import io.parsleycleat.gateway.version.follow.KeyedLogWriter;
import io.parsleycleat.gateway.version.routes.ConfigurationDecoder;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.util.Optional;
import java.util.function.BiFunction;

/**
 * What a process uses of the platform's store, and how its records are read.
 *
 * @param operatorsLog the operators' records
 * @param upstreamsLog the upstreams' descriptions, by id
 * @param entriesLog the entries' own records, by VM name
 * @param entryWriter writes the entry's own record
 * @param fenceSource numbers that only grow
 */
public record StoreAccess(
        KeyedLog operatorsLog,
        ConfigurationDecoder operatorsDecoder,
        KeyedLog upstreamsLog,
        BiFunction<String, byte[], Optional<Upstream>> upstreamDecoder,
        KeyedLog entriesLog,
        KeyedLogWriter entryWriter,
        OrderLoop.FenceSource fenceSource) {}
