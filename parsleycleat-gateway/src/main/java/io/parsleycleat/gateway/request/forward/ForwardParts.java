package io.parsleycleat.gateway.request.forward;

import io.netty.channel.EventLoop;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.connection.upstream.UpstreamPools;
import io.parsleycleat.gateway.process.members.GateClient;
import io.parsleycleat.gateway.request.choose.EngineChooser;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.request.choose.PlainServiceChooser;
import io.parsleycleat.gateway.request.choose.UpstreamAvailability;
import io.parsleycleat.gateway.request.choose.UpstreamLoads;
import io.parsleycleat.gateway.request.crash.CrashDetector;
import io.parsleycleat.gateway.request.limits.RetryShare;
import io.parsleycleat.gateway.version.routes.AdapterVersions;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

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
        UpstreamAvailability availability,
        PlainServiceChooser plain,
        EngineChooser engines,
        EngineView view,
        GateClient gates,
        RetryShare retries,
        CrashDetector crashes,
        ForwardMetrics metrics) {
    /** Returns the upstreams of a service that may be sent to now. */
    List<Upstream> usable(String service) {
        return availability.filterAvailable(directory.usable(service));
    }

    /** Returns when a caller should come back to a service whose upstreams all want a pause. */
    Optional<Duration> comeBackAfter(String service) {
        return availability.retryAfter(directory.usable(service));
    }
}
