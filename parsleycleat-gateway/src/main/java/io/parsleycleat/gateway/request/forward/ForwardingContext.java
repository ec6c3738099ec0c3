package io.parsleycleat.gateway.request.forward;

import io.netty.channel.EventLoop;
import io.parsleycleat.core.connection.body.BodyMemory;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.connection.upstream.SendFailure;
import io.parsleycleat.gateway.connection.upstream.UpstreamConnectionPools;
import io.parsleycleat.gateway.process.members.GateClient;
import io.parsleycleat.gateway.request.choose.EngineChooser;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.request.choose.PlainServiceChooser;
import io.parsleycleat.gateway.request.choose.UpstreamAvailability;
import io.parsleycleat.gateway.request.choose.UpstreamLimits;
import io.parsleycleat.gateway.request.choose.UpstreamLoads;
import io.parsleycleat.gateway.request.crash.CrashDetector;
import io.parsleycleat.gateway.request.crash.InterruptedRequest;
import io.parsleycleat.gateway.request.limits.RetryShare;
import io.parsleycleat.gateway.request.permits.UpstreamPermits;
import io.parsleycleat.gateway.version.routes.AdapterVersions;
import io.parsleycleat.gateway.version.routes.ConfigurationHolder;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The components of an entry that every forwarded request uses.
 *
 * <p>Created once per entry; safe to share between threads.
 *
 * @param loop the event loop on which requests are handled
 * @param answerMemory what the answers that callers do not have yet may take
 */
public record ForwardingContext(
        CallCodec codec,
        EventLoop loop,
        TimeSource time,
        ConfigurationHolder configuration,
        UpstreamDirectory directory,
        AdapterVersions adapterVersions,
        UpstreamConnectionPools upstreamPools,
        UpstreamLoads upstreamLoads,
        UpstreamAvailability availability,
        UpstreamLimits limits,
        UpstreamPermits permits,
        PlainServiceChooser plainChooser,
        EngineChooser engineChooser,
        EngineView engineView,
        GateClient gateClient,
        RetryShare retryShare,
        CrashDetector crashWatch,
        BodyMemory answerMemory,
        ForwardMetrics metrics) {
    /** Time after which callers retry when nothing better is known. */
    static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);

    /** Returns the upstreams of a service that accept requests now. */
    List<Upstream> availableUpstreams(String service) {
        return availability.filterAvailable(directory.usable(service));
    }

    /** Returns after which time a caller should retry who is refused because no upstream of a service is available. */
    Duration noUpstreamRetryAfter(String service) {
        boolean anyTakes = !availableUpstreams(service).isEmpty();
        return anyTakes ? DEFAULT_RETRY_AFTER : retryAfter(service).orElse(DEFAULT_RETRY_AFTER);
    }

    /** Returns after which time a caller should retry if all upstreams of a service asked for a pause. */
    Optional<Duration> retryAfter(String service) {
        return availability.retryAfter(directory.usable(service));
    }

    /** Records a failed attempt for the detection of crashes. */
    void recordFailure(Attempt attempt, SendFailure failure) {
        if (failure.connectionBroken()) {
            checkForCrash(attempt);
        } else if (failure.refused()) {
            crashWatch.onUpstreamDown(attempt.upstream());
        }
    }

    /** Records a whole answer. One that ended with its connection may have been ended by a crash. */
    void recordWholeAnswer(Attempt attempt) {
        InterruptedRequest request = attempt.interruptedRequest();
        if (attempt.answerEndsAtClose()) {
            checkForCrash(attempt);
        } else {
            crashWatch.onRequestSurvived(request.fingerprint(), request.sharedPromptParts());
        }
    }

    /** Records that the connection of an attempt has ended, and finds out whether the upstream is still there. */
    private void checkForCrash(Attempt attempt) {
        Upstream upstream = attempt.upstream();
        crashWatch.onConnectionLost(upstream, attempt.interruptedRequest());
        upstreamPools.poolFor(upstream).checkListening(() -> crashWatch.onUpstreamDown(upstream));
    }
}
