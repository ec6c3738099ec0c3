package io.parsleycleat.standin.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.parsleycleat.core.connection.upstream.HttpClients;
import io.parsleycleat.standin.fleet.DaemonNode;
import io.parsleycleat.standin.http.Json;
import io.parsleycleat.standin.load.Arrival.Kind;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;

/**
 * Sends a run's requests when they are due, whatever became of earlier ones, and collects the outcomes.
 *
 * <p>Created by {@link LoadCommand} for each run; used by one thread.
 */
final class LoadDriver implements AutoCloseable {
    private static final Duration ANSWER_TIMEOUT = Duration.ofMinutes(2);
    /** Time in which all requests are prepared before the first is due. */
    private static final Duration LEAD = Duration.ofSeconds(2);

    private static final int DIRECT_READS = 200;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final EventLoopGroup loops = new NioEventLoopGroup(2, new DefaultThreadFactory("load", true));
    private final AsyncHttpClient http = HttpClients.create(loops);
    private final LoadFleet fleet;
    private final LoadOptions options;
    private final Recorder gaps = new Recorder(SIGNIFICANT_DIGITS);
    private final SplittableRandom random;
    private volatile long startNanos;
    private volatile long startMillis;

    LoadDriver(LoadFleet fleet, LoadOptions options) {
        this.fleet = fleet;
        this.options = options;
        this.random = new SplittableRandom(~options.seed());
    }

    /**
     * Sends all requests and returns their outcomes once the last has ended.
     *
     * @param whenWarm called when the warm-up is over
     */
    List<Outcome> run(List<Arrival> arrivals, Runnable whenWarm) {
        startNanos = System.nanoTime() + LEAD.toNanos();
        startMillis = System.currentTimeMillis() + LEAD.toMillis();
        loops.schedule(
                () -> {
                    gaps.reset();
                    whenWarm.run();
                },
                TimeUnit.SECONDS.toNanos(options.warmUpSeconds()) - sinceStart(),
                TimeUnit.NANOSECONDS);
        List<CompletableFuture<Outcome>> outcomes =
                arrivals.stream().map(this::sendWhenDue).toList();
        return outcomes.stream().map(CompletableFuture::join).toList();
    }

    /** Returns when the run started, in milliseconds since 1970. */
    long startMillis() {
        return startMillis;
    }

    /** Returns the nanoseconds between the parts of answers since the warm-up. */
    Histogram gaps() {
        return gaps.getIntervalHistogram();
    }

    /** Returns the nanoseconds that the plain service takes for a read without the system in between. */
    Histogram directReads() {
        Histogram times = new Histogram(SIGNIFICANT_DIGITS);
        URI service = fleet.services().get(0).uri();
        Stream.generate(() -> service + "/status").limit(DIRECT_READS).forEach(uri -> {
            long begin = System.nanoTime();
            http.prepareGet(uri).execute().toCompletableFuture().join();
            times.recordValue(System.nanoTime() - begin);
        });
        return times;
    }

    @Override
    public void close() {
        try {
            http.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private CompletableFuture<Outcome> sendWhenDue(Arrival arrival) {
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        RequestBuilder request = request(arrival);
        loops.schedule(
                () -> {
                    CompletionReader reader =
                            new CompletionReader(arrival, this::sinceStart, gaps::recordValue, outcome);
                    http.executeRequest(request, reader);
                },
                arrival.atNanos() - sinceStart(),
                TimeUnit.NANOSECONDS);
        return outcome;
    }

    private long sinceStart() {
        return System.nanoTime() - startNanos;
    }

    private RequestBuilder request(Arrival arrival) {
        List<DaemonNode> entries = fleet.entries();
        URI base = entries.get(arrival.number() % entries.size()).callers();
        RequestBuilder request = arrival.kind() == Kind.READ ? new RequestBuilder("GET") : new RequestBuilder("POST");
        request.setRequestTimeout(ANSWER_TIMEOUT).setReadTimeout(ANSWER_TIMEOUT);
        if (!arrival.account().freeTier()) {
            request.setHeader(
                    "Authorization", "Bearer " + fleet.key(arrival.account().id()));
        }
        String services = base + "/services/" + options.deployment().service();
        switch (arrival.kind()) {
            case READ -> request.setUrl(services + "/status");
            case ORDER -> request.setUrl(services + "/orders")
                    .setHeader("Idempotency-Key", orderKey(arrival).toString())
                    .setBody("order " + arrival.number());
            default -> request.setUrl(base + "/v1/completions").setBody(completion(arrival));
        }
        return request;
    }

    private UUID orderKey(Arrival arrival) {
        long sendMillis = System.currentTimeMillis() + TimeUnit.NANOSECONDS.toMillis(arrival.atNanos());
        return UuidV7.create(sendMillis, random);
    }

    private static String completion(Arrival arrival) {
        return Json.object()
                .put("model", arrival.model())
                .put("prompt", arrival.prompt())
                .put("max_tokens", arrival.maxTokens())
                .put("ignore_eos", true)
                .put("stream", true)
                .toString();
    }
}
