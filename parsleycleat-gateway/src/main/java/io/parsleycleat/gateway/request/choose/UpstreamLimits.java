package io.parsleycleat.gateway.request.choose;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Records which request limits upstreams name in their answers to this entry.
 *
 * <p>A record applies to one start of an upstream.
 *
 * <p>One instance per entry; guarded by its own lock.
 */
public final class UpstreamLimits {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Maximum number of upstream starts on record; the oldest one is removed first. */
    private static final int MAX_STARTS = 10_000;

    private final Map<UpstreamStart, RequestLimit> limits = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamStart, RequestLimit> eldest) {
            return size() > MAX_STARTS;
        }
    };

    /** Records the limit that an answer of an upstream names; null if it names none. */
    public synchronized void onAnswer(Upstream upstream, @Nullable RequestLimit named) {
        if (named != null && !named.isReadable()) {
            return;
        }
        UpstreamStart start = UpstreamStart.of(upstream);
        RequestLimit before = named == null ? limits.remove(start) : limits.put(start, named);
        if (!Objects.equals(named, before)) {
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, upstream.id())
                    .log("upstream takes %s from all entries, before %s", describe(named), describe(before));
        }
    }

    private static String describe(@Nullable RequestLimit limit) {
        return limit == null ? "any number of requests" : limit.requestsPerSecond() + " requests a second";
    }

    /** Returns whether the last answer of an upstream named a limit. */
    public synchronized boolean isLimited(Upstream upstream) {
        return limits.containsKey(UpstreamStart.of(upstream));
    }
}
