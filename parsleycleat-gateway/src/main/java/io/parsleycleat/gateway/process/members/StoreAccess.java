package io.parsleycleat.gateway.process.members;

import io.parsleycleat.gateway.process.gate.OrderLoop;
import io.parsleycleat.gateway.version.follow.KeyedLog;
import io.parsleycleat.gateway.version.follow.KeyedLogWriter;
import io.parsleycleat.gateway.version.routes.ConfigurationDecoder;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.util.Optional;
import java.util.function.BiFunction;

/**
 * Groups the logs of the store that a process uses with the decoders of their records.
 *
 * @param operatorsLog the records that operators write
 * @param upstreamsLog the descriptions of upstreams, by upstream id
 * @param entriesLog the entries' own records, by VM name
 * @param entryWriter writes the entry's own record
 * @param fenceSource issues fencing numbers, which only increase
 */
public record StoreAccess(
        KeyedLog operatorsLog,
        ConfigurationDecoder operatorsDecoder,
        KeyedLog upstreamsLog,
        BiFunction<String, byte[], Optional<Upstream>> upstreamDecoder,
        KeyedLog entriesLog,
        KeyedLogWriter entryWriter,
        OrderLoop.FencingTokenSource fenceSource) {}
