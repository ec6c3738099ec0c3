package io.parsleycleat.gateway.version.upstreams;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The data centres to whose upstreams no new requests are sent, because operators asked for that. What runs there goes
 * on to its end.
 *
 * <p>An end of a drain that is read right after an outage of the store, or from an older copy of it, is held back until
 * the grace time is over, since the record may be written again. A drain that lasts a moment too long costs capacity;
 * one that ends too early sends requests where operators want none.
 *
 * <p>One per process; safe to share between threads.
 */
public final class DrainedDataCentres {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Set<String> drained = ConcurrentHashMap.newKeySet();
    private final Set<String> endingAfterGrace = ConcurrentHashMap.newKeySet();

    /** Creates an instance without drained data centres. */
    public DrainedDataCentres() {}

    /** Drains a data centre, until operators take that back. */
    public void drain(String dataCentre) {
        endingAfterGrace.remove(dataCentre);
        if (drained.add(dataCentre)) {
            logger.atInfo().log("data centre %s is drained: no new requests are sent to its upstreams", dataCentre);
        }
    }

    /** Takes a drain back. */
    public void end(String dataCentre) {
        endingAfterGrace.remove(dataCentre);
        if (drained.remove(dataCentre)) {
            logger.atInfo().log("data centre %s is in use again", dataCentre);
        }
    }

    /** Takes a drain back once the grace time is over, unless the data centre is drained again before. */
    public void endAfterGrace(String dataCentre) {
        if (drained.contains(dataCentre)) {
            endingAfterGrace.add(dataCentre);
        }
    }

    /** Ends what was held back until the end of the grace time. */
    public void onGraceEnd() {
        List.copyOf(endingAfterGrace).forEach(this::end);
    }

    /** Returns whether no new request may be sent to an upstream because of its data centre. */
    public boolean covers(Upstream upstream) {
        return drained.contains(upstream.dataCentre());
    }

    /** Returns the number of drained data centres. */
    public int count() {
        return drained.size();
    }
}
