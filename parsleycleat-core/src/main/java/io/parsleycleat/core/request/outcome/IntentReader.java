package io.parsleycleat.core.request.outcome;

import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogEntry;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.LogTrimmedException;
import io.parsleycleat.core.process.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Reads one intent stream, in order and only when something has to be known.
 *
 * <p>Created by {@link IntentShard}; its methods are called under that shard's lock, and so are the callbacks.
 */
final class IntentReader {
    private static final int PAGE_RECORDS = 500;
    private static final int MAX_FAILURES = 2;
    private static final Duration WAIT_FOR_LAGGING_LOG = Duration.ofMillis(200);

    private final LogClient log;
    private final String stream;
    private final TimeSource time;
    private final Consumer<Runnable> lock;
    private final Consumer<String> onIntent;
    private final Runnable onFailed;
    private final IntentFold fold = new IntentFold();
    private final List<Target> targets = new ArrayList<>();
    private List<Consumer<Boolean>> atEnd = new ArrayList<>();
    private List<Consumer<Boolean>> atNextEnd = new ArrayList<>();
    private long nextOffset;
    private boolean busy;
    private boolean trimmed;
    private int failures;
    private long readableSinceMillis = Long.MIN_VALUE;

    private record Target(long offset, BooleanSupplier wanted) {}

    IntentReader(
            LogClient log,
            String stream,
            TimeSource time,
            Consumer<Runnable> lock,
            Consumer<String> onIntent,
            Runnable onFailed) {
        this.log = log;
        this.stream = stream;
        this.time = time;
        this.lock = lock;
        this.onIntent = onIntent;
        this.onFailed = onFailed;
    }

    IntentFold fold() {
        return fold;
    }

    /** Returns the time since which no record was missed. */
    long readableSinceMillis() {
        return readableSinceMillis;
    }

    /** Reads up to an offset for as long as that is wanted. */
    void readTo(long offset, BooleanSupplier wanted) {
        targets.add(new Target(offset, wanted));
        read();
    }

    /** Reads up to where the stream ends after this call; the callback is told whether that was reached. */
    void readToEnd(Consumer<Boolean> reached) {
        (busy ? atNextEnd : atEnd).add(reached);
        read();
    }

    void forgetBefore(long timeMillis) {
        fold.forgetBefore(timeMillis);
    }

    private void read() {
        targets.removeIf(t -> t.offset() <= nextOffset || !t.wanted().getAsBoolean());
        if (busy || (targets.isEmpty() && atEnd.isEmpty() && atNextEnd.isEmpty())) {
            return;
        }
        busy = true;
        atEnd.addAll(atNextEnd);
        atNextEnd.clear();
        long from = nextOffset;
        long askedMillis = time.wallMillis();
        CompletableFuture<LogPage> answer;
        try {
            answer = log.read(stream, from, PAGE_RECORDS, atEnd.isEmpty() ? WAIT_FOR_LAGGING_LOG : Duration.ZERO);
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        answer.whenComplete((page, failure) -> lock.accept(() -> {
            busy = false;
            if (failure == null) {
                onPage(page, askedMillis);
            } else {
                onFailure(failure);
            }
            read();
        }));
    }

    private void onPage(LogPage page, long askedMillis) {
        failures = 0;
        if (trimmed) {
            trimmed = false;
            readableSinceMillis = page.entries().isEmpty()
                    ? askedMillis
                    : Math.min(askedMillis, page.entries().get(0).timeMillis());
        }
        page.entries().forEach(this::apply);
        if (nextOffset >= page.endOffset()) {
            finish(true);
        }
    }

    private void apply(LogEntry entry) {
        if (entry.offset() < nextOffset) {
            return;
        }
        nextOffset = entry.offset() + 1;
        @Nullable String attemptId = fold.apply(entry);
        if (attemptId != null) {
            onIntent.accept(attemptId);
        }
    }

    private void onFailure(Throwable failure) {
        if (Failures.unwrap(failure) instanceof LogTrimmedException e) {
            trimmed = true;
            nextOffset = Math.max(nextOffset, e.earliestOffset());
            return;
        }
        failures++;
        if (failures >= MAX_FAILURES) {
            failures = 0;
            targets.clear();
            onFailed.run();
            finish(false);
        }
    }

    private void finish(boolean reached) {
        List<Consumer<Boolean>> callbacks = atEnd;
        atEnd = new ArrayList<>();
        callbacks.forEach(c -> c.accept(reached));
    }
}
