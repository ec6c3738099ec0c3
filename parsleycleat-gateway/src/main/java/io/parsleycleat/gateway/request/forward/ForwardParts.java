package io.parsleycleat.gateway.request.forward;

import io.netty.channel.EventLoop;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.connection.upstream.UpstreamPools;
import io.parsleycleat.gateway.process.members.GateClient;
import io.parsleycleat.gateway.request.choose.EngineChooser;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.request.choose.PlainChooser;
import io.parsleycleat.gateway.request.choose.UpstreamLoads;
import io.parsleycleat.gateway.request.crash.CrashWatch;
import io.parsleycleat.gateway.request.limits.RetryShare;
import io.parsleycleat.gateway.version.routes.AdapterVersions;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;

/**
 * The parts of an entry that every forwarded request uses.
 *
 * @param loop the event loop on which requests are handled
 */
public record ForwardParts(
        CallCodec codec,
        EventLoop loop,
        TimeSource time,
        UpstreamDirectory directory,
        AdapterVersions versions,
        UpstreamPools pools,
        UpstreamLoads loads,
        PlainChooser plain,
        EngineChooser engines,
        EngineView view,
        GateClient gates,
        RetryShare retries,
        CrashWatch crashes,
        ForwardMetrics metrics) {}
