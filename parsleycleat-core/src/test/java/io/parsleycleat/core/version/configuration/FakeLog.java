package io.parsleycleat.core.version.configuration;

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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A log in memory that a test can stop, trim, or make lose answers. */
final class FakeLog {
    private final VirtualScheduler scheduler;
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<LogEntry> history = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private final Set<String> cutOff = new HashSet<>();
    private long earliest;
    private boolean out;
    private int answersToLose;
    private int appends;
    private int reads;

    FakeLog(VirtualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Returns the log as a process reaches it. */
    LogClient client(String vm) {
        return new LogClient() {
            @Override
            public CompletableFuture<Long> append(String stream, List<ByteString> values) {
                return isOut(vm) ? failed() : answerLater(FakeLog.this.append(values));
            }

            @Override
            public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
                reads++;
                CompletableFuture<LogPage> answer = new CompletableFuture<>();
                attempt(vm, from, limit, scheduler.monotonicNanos() + wait.toNanos(), answer);
                return answer;
            }
        };
    }

    long append(List<ByteString> values) {
        appends++;
        long first = end();
        values.forEach(v -> {
            LogEntry entry = new LogEntry(end(), scheduler.wallMillis(), v);
            entries.add(entry);
            history.add(entry);
        });
        List.copyOf(waiting).forEach(scheduler::execute);
        waiting.clear();
        return first;
    }

    long end() {
        return earliest + entries.size();
    }

    long earliest() {
        return earliest;
    }

    List<LogEntry> entries() {
        return List.copyOf(entries);
    }

    /** Returns all records that were ever appended. */
    List<LogEntry> history() {
        return List.copyOf(history);
    }

    /** Drops the records that are older than the log keeps them. */
    void trimOlderThan(Duration retention) {
        long oldest = scheduler.wallMillis() - retention.toMillis();
        while (!entries.isEmpty() && entries.get(0).timeMillis() < oldest) {
            trimTo(earliest + 1);
        }
    }

    int appends() {
        return appends;
    }

    int reads() {
        return reads;
    }

    void setOut(boolean isOut) {
        out = isOut;
        List.copyOf(waiting).forEach(scheduler::execute);
        waiting.clear();
    }

    void cutOff(String vm) {
        cutOff.add(vm);
        List.copyOf(waiting).forEach(scheduler::execute);
        waiting.clear();
    }

    void reconnect(String vm) {
        cutOff.remove(vm);
    }

    void loseAnswers(int count) {
        answersToLose = count;
    }

    void trimTo(long offset) {
        while (earliest < offset && !entries.isEmpty()) {
            entries.remove(0);
            earliest++;
        }
    }

    void replace(long offset, ByteString value) {
        LogEntry old = entries.get((int) (offset - earliest));
        entries.set((int) (offset - earliest), new LogEntry(offset, old.timeMillis(), value));
    }

    private boolean isOut(String vm) {
        return out || cutOff.contains(vm);
    }

    private void attempt(String vm, long from, int limit, long deadline, CompletableFuture<LogPage> answer) {
        if (answer.isDone()) {
            return;
        }
        if (isOut(vm)) {
            answer.completeExceptionally(failure());
        } else if (from < earliest) {
            answer.completeExceptionally(new LogTrimmedException("configuration", from, earliest));
        } else if (from < end() || scheduler.monotonicNanos() >= deadline) {
            List<LogEntry> page = entries.stream()
                    .filter(e -> e.offset() >= from)
                    .limit(limit)
                    .toList();
            answer.complete(new LogPage(earliest, end(), page));
        } else {
            Runnable again = () -> attempt(vm, from, limit, deadline, answer);
            waiting.add(again);
            scheduler.schedule(again, deadline - scheduler.monotonicNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private CompletableFuture<Long> answerLater(long offset) {
        if (answersToLose > 0) {
            answersToLose--;
            return failed();
        }
        return CompletableFuture.completedFuture(offset);
    }

    private static <T> CompletableFuture<T> failed() {
        return CompletableFuture.failedFuture(failure());
    }

    private static PlatformException failure() {
        return new PlatformException(ResultCode.LOG_OUT, "out", Location.of("log"));
    }
}
