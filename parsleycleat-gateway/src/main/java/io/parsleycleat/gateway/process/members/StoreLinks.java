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
 * @param operators the operators' records
 * @param upstreams the upstreams' descriptions, by id
 * @param entries the entries' own records, by VM name
 * @param entryWriter writes the entry's own record
 * @param fences numbers that only grow
 */
public record StoreLinks(
        KeyedLog operators,
        ConfigurationDecoder operatorsDecoder,
        KeyedLog upstreams,
        BiFunction<String, byte[], Optional<Upstream>> upstreamDecoder,
        KeyedLog entries,
        KeyedLogWriter entryWriter,
        OrderLoop.FencingTokenSource fences) {}
