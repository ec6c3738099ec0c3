package io.parsleycleat.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.standin.StandIn;
import io.parsleycleat.standin.http.HttpExchange;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.standin.http.Recorder;
import io.parsleycleat.standin.http.StandInServer;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Takes the place of the platform's rate-limited weight store, as docs/PLATFORM.md describes it.
 *
 * <p>Created by the command line or in-process by tests; safe to share between threads.
 */
public final class WeightStoreStandIn implements StandIn {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY = 429;
    private static final int FAILED = 500;

    private final WeightStoreOptions options;
    private final TimeSource time;
    private final RateLimiter limiter;
    private final AtomicInteger loadsToFail = new AtomicInteger();
    private final Set<String> failing = ConcurrentHashMap.newKeySet();
    private final StandInServer<Load> server;
    private final TransitModel transits;
    private volatile double loadsPerSecond;
    private @Nullable ScheduledFuture<?> timer;

    /** Starts a store that has the weights of every adapter. */
    public WeightStoreStandIn(InetSocketAddress address, WeightStoreOptions options, TimeSource time) {
        this.options = options;
        this.time = time;
        this.loadsPerSecond = options.loadsPerSecond();
        this.limiter = new RateLimiter(time, options.loadsPerSecond(), options.burst());
        this.transits = new TransitModel(options.fullSpeedTransits(), time.monotonicNanos());
        this.server = new StandInServer<>(
                address,
                this::serve,
                Map.of("fail", this::controlFail, "rate", this::controlRate),
                new Recorder<>(Recorder.DEFAULT_LIMIT));
    }

    // Control

    /** Lets the next loads fail, whatever their adapter. */
    public void failNext(int count) {
        loadsToFail.set(count);
    }

    /** Lets all loads of these adapters, {@code adapter@version}, fail until the set is replaced. */
    public void failAdapters(Set<String> labels) {
        failing.retainAll(labels);
        failing.addAll(labels);
    }

    /** Sets the loads allowed a second. */
    public void setLoadsPerSecond(double rate) {
        loadsPerSecond = rate;
        limiter.setRate(rate);
    }

    /** Returns the loads asked for, in order. */
    public Recorder<Load> loads() {
        return server.records();
    }

    @Override
    public StandInServer<Load> server() {
        return server;
    }

    // Requests

    private void serve(HttpExchange exchange) {
        List<String> path = exchange.segments();
        if (path.equals(List.of("limits"))) {
            exchange.respond(OK, limits());
        } else if (path.size() == 2 && path.get(0).equals("weights")) {
            load(exchange, path.get(1));
        } else {
            exchange.respond(NOT_FOUND, Json.error("no such resource"));
        }
    }

    private ObjectNode limits() {
        int count;
        synchronized (transits) {
            count = transits.count();
        }
        return Json.object()
                .put("loadsPerSecond", loadsPerSecond)
                .put("fullSpeedTransits", options.fullSpeedTransits())
                .put("transits", count);
    }

    private void load(HttpExchange exchange, String label) {
        if (!limiter.tryTake()) {
            server.records().add(new Load(label, LoadResult.LIMITED));
            exchange.respondRetryAfter(TOO_MANY, 1, Json.error("too many loads"));
            return;
        }
        boolean failed = loadsToFail.getAndUpdate(n -> Math.max(0, n - 1)) > 0 || failing.contains(label);
        if (failed) {
            server.records().add(new Load(label, LoadResult.FAILED));
            exchange.respond(FAILED, Json.error("the weights cannot be read"));
            return;
        }
        server.records().add(new Load(label, LoadResult.STARTED));
        synchronized (transits) {
            transits.start(
                    time.monotonicNanos(),
                    (double) options.transitTime().toNanos(),
                    () -> exchange.respond(OK, Json.object().put("adapter", label)));
        }
        scheduleNext();
    }

    /** Replaces the timer of the load that is done next, since every start and end changes the speed of all. */
    private void scheduleNext() {
        synchronized (transits) {
            if (timer != null) {
                timer.cancel(false);
            }
            timer = transits.count() == 0
                    ? null
                    : server.scheduler().schedule(this::finishTransits, transits.nextNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void finishTransits() {
        List<Runnable> done;
        synchronized (transits) {
            done = transits.finish(time.monotonicNanos());
        }
        done.forEach(Runnable::run);
        scheduleNext();
    }

    // Control interface

    private void controlFail(HttpExchange exchange) {
        JsonNode body = exchange.bodyJson();
        failNext(body.path("next").asInt());
        failAdapters(Set.copyOf(Json.texts(body.path("adapters"))));
        exchange.respond(OK, Json.object());
    }

    private void controlRate(HttpExchange exchange) {
        double rate = exchange.bodyJson().path("loadsPerSecond").asDouble(loadsPerSecond);
        setLoadsPerSecond(Math.max(Double.MIN_NORMAL, rate));
        exchange.respond(OK, limits());
    }

    /** What became of a load. */
    public enum LoadResult {
        /** It went into transit. */
        STARTED,
        /** It was refused because too many had started. */
        LIMITED,
        /** It failed. */
        FAILED
    }

    /** One load that was asked for. */
    public record Load(String adapter, LoadResult result) {}
}
