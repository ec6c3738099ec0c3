package io.parsleycleat.core.request.outcome;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Appends the records of one intent stream, many in one append.
 *
 * <p>The first record after a pause goes at once; those that come while an append is in flight, or less than the append
 * interval after it, go together. Created by {@link IntentShard}; its methods are called under that shard's lock, and
 * so are the callbacks.
 */
final class IntentAppender {
    private static final long FAILED = -1;
    private static final Duration BACKOFF = Duration.ofSeconds(1);

    private final LogClient log;
    private final String stream;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final LedgerSettings settings;
    private final Consumer<Runnable> lock;
    private final Deque<Item> pending = new ArrayDeque<>();
    private boolean busy;
    private boolean scheduled;
    private long notBeforeNanos;

    /**
     * A record to append.
     *
     * @param wanted asked right before the append; false drops the record
     * @param done called with the offset after the group, or a negative number when the append failed
     */
    private record Item(ByteString value, boolean retried, BooleanSupplier wanted, LongConsumer done) {}

    IntentAppender(
            LogClient log,
            String stream,
            TimeSource time,
            ScheduledExecutorService scheduler,
            LedgerSettings settings,
            Consumer<Runnable> lock) {
        this.log = log;
        this.stream = stream;
        this.time = time;
        this.scheduler = scheduler;
        this.settings = settings;
        this.lock = lock;
        this.notBeforeNanos = time.monotonicNanos();
    }

    /** Appends a record once, unless it is no longer wanted when its turn comes. */
    void append(ByteString value, BooleanSupplier wanted, LongConsumer done) {
        pending.addLast(new Item(value, false, wanted, done));
        flush();
    }

    /** Appends a record, again and again until the log has confirmed it. A second copy must be harmless. */
    void appendUntilDone(ByteString value, Runnable done) {
        pending.addLast(new Item(value, true, () -> true, end -> done.run()));
        flush();
    }

    private void flush() {
        if (busy || scheduled || pending.isEmpty()) {
            return;
        }
        long delay = notBeforeNanos - time.monotonicNanos();
        if (delay > 0) {
            scheduled = true;
            scheduler.schedule(
                    () -> lock.accept(() -> {
                        scheduled = false;
                        flush();
                    }),
                    delay,
                    TimeUnit.NANOSECONDS);
            return;
        }
        List<Item> group = new ArrayList<>();
        while (!pending.isEmpty() && group.size() < settings.maxGroup()) {
            Item item = pending.removeFirst();
            if (item.wanted().getAsBoolean()) {
                group.add(item);
            }
        }
        if (!group.isEmpty()) {
            send(List.copyOf(group));
        }
    }

    private void send(List<Item> group) {
        busy = true;
        notBeforeNanos = time.monotonicNanos() + settings.appendInterval().toNanos();
        CompletableFuture<Long> answer;
        try {
            answer = log.append(stream, group.stream().map(Item::value).toList());
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        answer.whenComplete((first, failure) -> lock.accept(() -> onAnswer(group, first, failure)));
    }

    private void onAnswer(List<Item> group, Long first, Throwable failure) {
        busy = false;
        if (failure == null) {
            long end = first + group.size();
            group.forEach(item -> item.done().accept(end));
        } else {
            notBeforeNanos = time.monotonicNanos() + BACKOFF.toNanos();
            List<Item> again = group.stream().filter(Item::retried).toList();
            for (int i = again.size() - 1; i >= 0; i--) {
                pending.addFirst(again.get(i));
            }
            group.stream().filter(item -> !item.retried()).forEach(item -> item.done()
                    .accept(FAILED));
        }
        flush();
    }
}
