package io.parsleycleat.standin.measure.outcome;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.connection.platform.HttpLogClient;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.connection.upstream.HttpClients;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.IntentDecision;
import io.parsleycleat.core.request.outcome.IntentRequest;
import io.parsleycleat.core.request.outcome.LedgerSettings;
import io.parsleycleat.core.request.outcome.LogIntentLedger;
import io.parsleycleat.standin.platform.LogOptions;
import io.parsleycleat.standin.platform.LogStandIn;
import io.parsleycleat.wire.outcome.Outcome;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.HdrHistogram.ConcurrentHistogram;
import org.asynchttpclient.AsyncHttpClient;

/**
 * Offers orders to the ledgers of four sides over one log of 400 appends a second, with and without groups.
 *
 * <p>A program; prints one line of a table for each setting and rate.
 */
public final class LedgerMeasurement {
    private static final int SIDES = 4;
    private static final int ANSWER_BYTES = 200;
    private static final int KEY_RANDOM_BITS = 48;
    private static final long TICK_MILLIS = 5;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final Duration LENGTH = Duration.ofSeconds(5);
    private static final int[] ORDERS_PER_SECOND = {20, 100, 400, 1000, 2000};

    private final LogClient log;
    private final ScheduledExecutorService scheduler;
    private final Random random = new Random(1);
    private final AtomicLong appends = new AtomicLong();

    private LedgerMeasurement(LogClient log, ScheduledExecutorService scheduler) {
        this.log = log;
        this.scheduler = scheduler;
    }

    /** Runs the measurement. */
    public static void main(String[] args) throws IOException {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
        EventLoopGroup loops = new NioEventLoopGroup(2);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        out.println("| appends | orders/s offered | allowed/s | refused/s | appends/s | p50 ms | p99 ms |");
        out.println("| --- | --- | --- | --- | --- | --- | --- |");
        try (LogStandIn log = new LogStandIn(address, LogOptions.DEFAULT, TimeSource.SYSTEM);
                AsyncHttpClient http = HttpClients.create(loops)) {
            LedgerMeasurement measurement = new LedgerMeasurement(new HttpLogClient(http, log.uri()), scheduler);
            LedgerSettings grouped = LedgerSettings.DEFAULTS;
            LedgerSettings single = new LedgerSettings(
                    grouped.shards(),
                    grouped.window(),
                    grouped.clockTolerance(),
                    grouped.timeout(),
                    Duration.ZERO,
                    1,
                    grouped.maxOutcomeBytes());
            measurement.run(out, "one record each", single);
            measurement.run(out, "groups, no interval", grouped.withAppendInterval(Duration.ZERO));
            measurement.run(out, "groups, 20 ms", grouped);
        } finally {
            loops.shutdownGracefully();
            scheduler.shutdownNow();
        }
    }

    private void run(PrintStream out, String name, LedgerSettings settings) {
        IntStream.of(ORDERS_PER_SECOND).forEach(rate -> out.println(measure(name, settings, rate)));
    }

    private String measure(String name, LedgerSettings settings, int ordersPerSecond) {
        String service = "measured-" + name.hashCode() + "-" + ordersPerSecond;
        List<LogIntentLedger> sides = IntStream.range(0, SIDES)
                .mapToObj(i ->
                        new LogIntentLedger(counting(), TimeSource.SYSTEM, scheduler, service + "-side" + i, settings))
                .toList();
        sides.forEach(s -> s.warmUp(service).join());
        ConcurrentHistogram micros = new ConcurrentHistogram(3);
        AtomicInteger allowed = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        appends.set(0);
        int ticks = (int) (LENGTH.toMillis() / TICK_MILLIS);
        CompletableFuture<?>[] all = IntStream.range(0, ticks)
                .mapToObj(tick -> CompletableFuture.supplyAsync(
                                () -> due(ordersPerSecond, tick),
                                CompletableFuture.delayedExecutor(tick * TICK_MILLIS, TimeUnit.MILLISECONDS))
                        .thenCompose(n -> CompletableFuture.allOf(IntStream.range(0, n)
                                .mapToObj(i -> order(sides, service, micros, allowed, refused))
                                .toArray(CompletableFuture<?>[]::new))))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(all).join();
        double seconds = LENGTH.toMillis() / (double) MILLIS_PER_SECOND;
        return String.format(
                "| %s | %d | %.0f | %.0f | %.0f | %.1f | %.1f |",
                name,
                ordersPerSecond,
                allowed.get() / seconds,
                refused.get() / seconds,
                appends.get() / seconds,
                micros.getValueAtPercentile(50) / 1000.0,
                micros.getValueAtPercentile(99) / 1000.0);
    }

    private static int due(int ordersPerSecond, int tick) {
        long before = ordersPerSecond * TICK_MILLIS * tick / MILLIS_PER_SECOND;
        return (int) (ordersPerSecond * TICK_MILLIS * (tick + 1) / MILLIS_PER_SECOND - before);
    }

    private CompletableFuture<Void> order(
            List<LogIntentLedger> sides,
            String service,
            ConcurrentHistogram micros,
            AtomicInteger allowed,
            AtomicInteger refused) {
        long begun = System.nanoTime();
        String key = newKey();
        // The side that the key's hash prefers, as entries choose it.
        LogIntentLedger side = sides.get(Math.floorMod(key.hashCode(), SIDES));
        IntentRequest request = new IntentRequest(service, "account", key, ByteString.copyFromUtf8(key));
        return side.begin(request).thenAccept(decision -> {
            if (decision instanceof IntentDecision.Run run) {
                micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - begun));
                allowed.incrementAndGet();
                side.complete(
                        service,
                        Outcome.newBuilder()
                                .setAccountId("account")
                                .setIdempotencyKey(key)
                                .setAttemptId(run.attemptId())
                                .setBody(ByteString.copyFrom(new byte[ANSWER_BYTES]))
                                .build());
            } else {
                refused.incrementAndGet();
            }
        });
    }

    private synchronized String newKey() {
        long now = System.currentTimeMillis();
        long tail = random.nextLong() >>> (Long.SIZE - KEY_RANDOM_BITS);
        return String.format("%08x-%04x-7%03x-8000-%012x", now >>> 16, now & 0xffff, random.nextInt(0x1000), tail);
    }

    private LogClient counting() {
        return new LogClient() {
            @Override
            public CompletableFuture<Long> append(String stream, List<ByteString> values) {
                appends.incrementAndGet();
                return log.append(stream, values);
            }

            @Override
            public CompletableFuture<LogPage> read(String stream, long fromOffset, int limit, Duration wait) {
                return log.read(stream, fromOffset, limit, wait);
            }
        };
    }
}
