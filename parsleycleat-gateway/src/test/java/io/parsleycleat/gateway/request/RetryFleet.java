package io.parsleycleat.gateway.request;

import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.process.members.EntryCount;
import io.parsleycleat.gateway.request.limits.RetryShare;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Simulates the entries of a fleet that share the retry budget of one service, and records when requests and repeats
 * arrive. Entries start, are killed and are cut off; each knows the others by records that it reads from the store.
 */
final class RetryFleet {
    private static final String SERVICE = "models";
    private static final long STEP_MILLIS = 10;
    /** Time without a renewal after which an entry is no longer known to another one. */
    private static final long RECORD_LIFETIME_MILLIS = 7_500;

    private final RetryShare.Bounds bounds;
    private final SplittableRandom random;
    private final ManualTimeSource time = new ManualTimeSource();
    private final List<Entry> entries;
    private final PriorityQueue<Pending> pending =
            new PriorityQueue<>((one, other) -> Long.compare(one.millis(), other.millis()));
    private final List<Long> requestMillis = new ArrayList<>();
    private final List<Long> repeatMillis = new ArrayList<>();
    private long nowMillis;

    /** A repeat that was decided, and that is sent once its search has found an upstream. */
    private record Pending(long millis, RetryShare.Repeat repeat, Process process) {}

    /** A process of an entry VM. */
    private static final class Process {
        private final RetryShare share;
        private boolean alive = true;

        Process(RetryShare share) {
            this.share = share;
        }
    }

    /** An entry VM, of which at most one process runs at a time. */
    private final class Entry {
        private final Map<Integer, Long> lastReadMillis = new HashMap<>();
        private Optional<Process> process = Optional.empty();
        private boolean cutOff;
        private long readsFromMillis;

        /** Starts a process that learns of the others when the store answers it. */
        void start(long firstReadMillis) {
            lastReadMillis.clear();
            readsFromMillis = nowMillis + firstReadMillis;
            process = Optional.of(new Process(new RetryShare(bounds, time, new EntryCount(this::knownEntries, time))));
        }

        void kill() {
            process.ifPresent(p -> p.alive = false);
            process = Optional.empty();
        }

        void readRecords() {
            if (process.isEmpty() || cutOff || nowMillis < readsFromMillis) {
                return;
            }
            IntStream.range(0, entries.size())
                    .filter(i -> entries.get(i) != this
                            && !entries.get(i).cutOff
                            && entries.get(i).process.isPresent())
                    .forEach(i -> lastReadMillis.put(i, nowMillis));
        }

        /** Returns how many entries are known, this one included; 0 before the records were read. */
        int knownEntries() {
            if (nowMillis < readsFromMillis) {
                return 0;
            }
            return 1
                    + (int) lastReadMillis.values().stream()
                            .filter(at -> nowMillis - at < RECORD_LIFETIME_MILLIS)
                            .count();
        }
    }

    RetryFleet(RetryShare.Bounds bounds, int size, long seed) {
        this.bounds = bounds;
        this.random = new SplittableRandom(seed);
        this.entries = IntStream.range(0, size).mapToObj(i -> new Entry()).toList();
        entries.forEach(e -> e.start(0));
    }

    /** Kills an entry, and starts it again after a time. */
    void kill(int entry) {
        entries.get(entry).kill();
    }

    void start(int entry, long firstReadMillis) {
        if (entries.get(entry).process.isEmpty()) {
            entries.get(entry).start(firstReadMillis);
        }
    }

    void setCutOff(int entry, boolean cutOff) {
        entries.get(entry).cutOff = cutOff;
    }

    /**
     * Lets time pass while requests arrive at the running entries.
     *
     * @param requestsPerSecond the rate over all entries
     * @param failing the part of the requests that fail and may be repeated
     * @param maxSearchMillis the longest time from the decision to repeat a request to its send
     */
    void run(Duration duration, double requestsPerSecond, double failing, long maxSearchMillis) {
        for (long left = duration.toMillis(); left > 0; left -= STEP_MILLIS) {
            time.advanceMillis(STEP_MILLIS);
            nowMillis += STEP_MILLIS;
            entries.forEach(Entry::readRecords);
            sendPending();
            List<Entry> running =
                    entries.stream().filter(e -> e.process.isPresent()).toList();
            double expected = requestsPerSecond * STEP_MILLIS / 1_000;
            long count = (long) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (long i = 0; i < count && !running.isEmpty(); i++) {
                arrive(running.get(random.nextInt(running.size())).process.orElseThrow(), failing, maxSearchMillis);
            }
        }
    }

    private void arrive(Process process, double failing, long maxSearchMillis) {
        process.share.onRequest(SERVICE);
        requestMillis.add(nowMillis);
        if (random.nextDouble() < failing) {
            long searchMillis = maxSearchMillis == 0 ? 0 : random.nextLong(maxSearchMillis);
            process.share
                    .tryReserve(SERVICE)
                    .ifPresent(r -> pending.add(new Pending(nowMillis + searchMillis, r, process)));
            sendPending();
        }
    }

    private void sendPending() {
        while (!pending.isEmpty() && pending.peek().millis() <= nowMillis) {
            Pending next = pending.remove();
            if (next.process().alive) {
                next.repeat().onSent();
                repeatMillis.add(nowMillis);
            }
        }
    }

    /** Returns the largest number of repeats beyond what is allowed in any window; negative if none exceeds it. */
    double worstExcess() {
        return repeatMillis.stream().mapToDouble(this::excessFrom).max().orElse(Double.NEGATIVE_INFINITY);
    }

    /** Returns the number of repeats. */
    int repeats() {
        return repeatMillis.size();
    }

    private double excessFrom(long start) {
        long window = bounds.window().toMillis();
        long requests = Math.max(
                count(requestMillis, start, start + window),
                Math.max(
                        count(requestMillis, start - window, start),
                        count(requestMillis, start - window / 2, start + window / 2)));
        return count(repeatMillis, start, start + window) - bounds.ratio() * requests - bounds.extraRetries();
    }

    private static long count(List<Long> millis, long from, long to) {
        return firstNotBefore(millis, to) - firstNotBefore(millis, from);
    }

    /** Returns the index of the first time that is not before a time; times are in order. */
    private static int firstNotBefore(List<Long> millis, long time) {
        int low = 0;
        int high = millis.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (millis.get(middle) < time) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
