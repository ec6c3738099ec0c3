package io.parsleycleat.standin.measure.limits;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogEntry;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.connection.platform.VmList;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * The log and the VM list of a simulation, with lag and outages.
 *
 * <p>Created for each simulation and used by one thread.
 */
public final class SimulatedPlatform {
    private static final Duration LATENCY = Duration.ofMillis(3);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final SimulatedTime time;
    private final Random random;
    private final Duration listLag;
    private final Map<String, List<LogEntry>> streams = new HashMap<>();
    private final NavigableMap<Long, List<Vm>> lists = new TreeMap<>();
    private boolean logOut;
    private boolean listOut;
    private double lostAnswers;
    private Predicate<SimulatedProcess> cut = process -> false;

    SimulatedPlatform(SimulatedTime time, Random random, Duration listLag) {
        this.time = time;
        this.random = random;
        this.listLag = listLag;
        lists.put(Long.MIN_VALUE, List.of());
    }

    // What the platform shows

    void setLogOut(boolean out) {
        logOut = out;
    }

    void setListOut(boolean out) {
        listOut = out;
    }

    void setLostAnswers(double share) {
        lostAnswers = share;
    }

    void setCut(Predicate<SimulatedProcess> newCut) {
        cut = newCut;
    }

    void put(Vm vm) {
        List<Vm> next = new ArrayList<>(newest());
        next.removeIf(known -> known.name().equals(vm.name()));
        next.add(vm);
        lists.put(time.monotonicNanos(), next);
    }

    void remove(String vmName) {
        lists.put(
                time.monotonicNanos(),
                newest().stream().filter(vm -> !vm.name().equals(vmName)).toList());
    }

    /** Returns the number of records in all streams. */
    int records() {
        return streams.values().stream().mapToInt(List::size).sum();
    }

    // Clients

    VmList vmListOf(SimulatedProcess process) {
        return () -> answer(process, listOut, 0, () -> lists.floorEntry(time.monotonicNanos() - listLag.toNanos())
                .getValue());
    }

    LogClient logOf(SimulatedProcess process) {
        return new LogClient() {
            @Override
            public CompletableFuture<Long> append(String stream, List<ByteString> values) {
                return answer(process, logOut, lostAnswers, () -> appendNow(stream, values));
            }

            @Override
            public CompletableFuture<LogPage> read(String stream, long fromOffset, int limit, Duration wait) {
                return answer(process, logOut, 0, () -> readNow(stream, fromOffset, limit));
            }
        };
    }

    private List<Vm> newest() {
        return lists.lastEntry().getValue();
    }

    private long appendNow(String stream, List<ByteString> values) {
        List<LogEntry> entries = streams.computeIfAbsent(stream, s -> new ArrayList<>());
        long first = entries.size();
        values.forEach(v -> entries.add(new LogEntry(entries.size(), time.wallMillis(), v)));
        return first;
    }

    private LogPage readNow(String stream, long fromOffset, int limit) {
        List<LogEntry> entries = streams.getOrDefault(stream, List.of());
        int from = (int) Math.min(fromOffset, entries.size());
        int to = Math.min(entries.size(), from + limit);
        return new LogPage(0, entries.size(), entries.subList(from, to));
    }

    private <T> CompletableFuture<T> answer(SimulatedProcess process, boolean out, double lost, Supplier<T> action) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (out || cut.test(process)) {
            time.after(TIMEOUT, () -> process.run(() -> answer.completeExceptionally(failure())));
            return answer;
        }
        boolean answerLost = random.nextDouble() < lost;
        time.after(LATENCY, () -> {
            T result = action.get();
            if (!answerLost) {
                time.after(LATENCY, () -> process.run(() -> answer.complete(result)));
            }
        });
        if (answerLost) {
            time.after(TIMEOUT, () -> process.run(() -> answer.completeExceptionally(failure())));
        }
        return answer;
    }

    private static PlatformException failure() {
        return new PlatformException(ResultCode.LOG_OUT, "no answer in time", Location.NONE);
    }
}
