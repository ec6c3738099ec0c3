package io.parsleycleat.core.request.outcome;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogEntry;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.LogTrimmedException;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A log in memory whose faults a test chooses. */
public final class FakeLog implements LogClient {
    /** What happens to a call. */
    public enum Mode {
        WORKS,
        REFUSES,
        HANGS,
        ANSWER_LOST,
        HELD_BACK
    }

    private final ManualTime time;
    private final Map<String, List<LogEntry>> streams = new HashMap<>();
    private final Map<String, Long> earliest = new HashMap<>();
    private final List<Runnable> heldBack = new ArrayList<>();
    private Mode appends = Mode.WORKS;
    private Mode reads = Mode.WORKS;
    private int appendCalls;

    public FakeLog(ManualTime time) {
        this.time = time;
    }

    public synchronized void setAppends(Mode mode) {
        appends = mode;
    }

    public synchronized void setReads(Mode mode) {
        reads = mode;
    }

    /** Lets appends that were held back take effect. */
    public synchronized void release() {
        List.copyOf(heldBack).forEach(Runnable::run);
        heldBack.clear();
    }

    public synchronized int appendCalls() {
        return appendCalls;
    }

    public synchronized List<ByteString> records(String stream) {
        return streams.getOrDefault(stream, List.of()).stream()
                .map(LogEntry::value)
                .toList();
    }

    public synchronized void trim(String stream, long offset) {
        earliest.put(stream, offset);
    }

    @Override
    public synchronized CompletableFuture<Long> append(String stream, List<ByteString> values) {
        appendCalls++;
        return switch (appends) {
            case WORKS -> CompletableFuture.completedFuture(store(stream, values));
            case REFUSES -> CompletableFuture.failedFuture(out());
            case HANGS -> new CompletableFuture<>();
            case ANSWER_LOST -> {
                store(stream, values);
                yield CompletableFuture.failedFuture(out());
            }
            case HELD_BACK -> {
                heldBack.add(() -> store(stream, values));
                yield CompletableFuture.failedFuture(out());
            }
        };
    }

    @Override
    public synchronized CompletableFuture<LogPage> read(String stream, long fromOffset, int limit, Duration wait) {
        if (reads == Mode.HANGS) {
            return new CompletableFuture<>();
        }
        if (reads != Mode.WORKS) {
            return CompletableFuture.failedFuture(out());
        }
        long first = earliest.getOrDefault(stream, 0L);
        if (fromOffset < first) {
            return CompletableFuture.failedFuture(new LogTrimmedException(stream, fromOffset, first));
        }
        List<LogEntry> all = streams.getOrDefault(stream, List.of());
        List<LogEntry> page =
                all.stream().filter(e -> e.offset() >= fromOffset).limit(limit).toList();
        return CompletableFuture.completedFuture(new LogPage(first, all.size(), page));
    }

    private long store(String stream, List<ByteString> values) {
        List<LogEntry> records = streams.computeIfAbsent(stream, s -> new ArrayList<>());
        long first = records.size();
        values.forEach(v -> records.add(new LogEntry(records.size(), time.wallMillis(), v)));
        return first;
    }

    private static PlatformException out() {
        return new PlatformException(ResultCode.LOG_OUT, "out", Location.NONE);
    }
}
