package io.parsleycleat.gateway.request;

import io.parsleycleat.core.request.routing.RendezvousHash;
import io.parsleycleat.gateway.ManualScheduler;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.choose.UpstreamLimits;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.request.permits.PermitHomes;
import io.parsleycleat.gateway.request.permits.PermitPeers;
import io.parsleycleat.gateway.request.permits.PermitQuery;
import io.parsleycleat.gateway.request.permits.PermitReply;
import io.parsleycleat.gateway.request.permits.UpstreamPermits;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Entries that send requests to one upstream of a plain service, which may name a limit, over a network that loses,
 * delays and doubles messages. Used by one thread.
 */
final class PermitFleet {
    static final int STEP_MILLIS = 50;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
    /** Time after an answer from which requests of the entry that got it count against the limit. */
    private static final long TOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int WINDOW_STEPS = 4_000 / STEP_MILLIS;

    final ManualTimeSource time = new ManualTimeSource();
    final SplittableRandom random;
    final Entry[] entries;
    private final ManualScheduler scheduler = new ManualScheduler(time);
    private final double faultRate;
    private final List<Integer> countedArrivals = new ArrayList<>();
    private final List<Integer> allArrivals = new ArrayList<>();
    private Upstream upstream = upstream(1);

    @Nullable
    RequestLimit limit;

    long messageCount;
    long refusalCount;
    private int countedNow;
    private int arrivedNow;

    /**
     * Creates a fleet whose entries know each other.
     *
     * @param faultRate the share of messages that are lost; as many are delayed and doubled
     */
    PermitFleet(int size, long seed, double faultRate) {
        this.random = new SplittableRandom(seed);
        this.faultRate = faultRate;
        this.entries = new Entry[size];
        IntStream.range(0, size).forEach(i -> entries[i] = new Entry(i));
        updateMembers();
    }

    private static Upstream upstream(long start) {
        return new Upstream("u", "s", new InetSocketAddress("127.0.0.1", 1), "here", start, false, 8, Map.of());
    }

    static String name(int entry) {
        return "entry-" + entry;
    }

    /** One process of an entry; a restart replaces its parts. */
    final class Entry {
        final int index;
        boolean down;
        boolean cutOff;
        boolean confirmed = true;
        private long toldNanos;
        private boolean told;
        private PermitHomes homes;
        private UpstreamLimits limits;
        private UpstreamPermits permits;

        Entry(int index) {
            this.index = index;
            restart();
        }

        void restart() {
            down = false;
            told = false;
            homes = new PermitHomes(name(index), time, () -> confirmed, scheduler);
            limits = new UpstreamLimits(time, () -> 0);
            permits = new UpstreamPermits(homes, new Peers(this), limits, time);
        }

        boolean isLimited() {
            return limits.isLimited(upstream);
        }

        /** Sends a request if the limit allows it, as the forwarding does. */
        void handleRequest(int priority, Duration maxWait, Runnable onSent) {
            if (down) {
                return;
            }
            if (limits.closedFor(upstream, priority).compareTo(maxWait) > 0) {
                refusalCount++;
                return;
            }
            Upstream target = upstream;
            permits.request(target, priority, maxWait).thenAccept(decision -> {
                if (decision.maySend() && !down) {
                    onSent.run();
                    send(target, decision.permit());
                } else {
                    refusalCount++;
                }
            });
        }

        private void send(Upstream target, UpstreamPermits.@Nullable Permit permit) {
            arrivedNow++;
            long now = time.monotonicNanos();
            countedNow += told && now - toldNanos >= TOLD_NANOS ? 1 : 0;
            PermitHomes process = homes;
            scheduler.schedule(
                    () -> onAnswer(target, permit, process, now), random.nextInt(20, 400), TimeUnit.MILLISECONDS);
        }

        private void onAnswer(
                Upstream target, UpstreamPermits.@Nullable Permit permit, PermitHomes process, long sentNanos) {
            if (process != homes || !target.equals(upstream)) {
                return;
            }
            RequestLimit named = limit;
            if (named != null && !told) {
                told = true;
                toldNanos = time.monotonicNanos();
            }
            limits.onAnswer(target, named, sentNanos);
            permits.onAnswer(target, permit, named);
        }
    }

    private final class Peers implements PermitPeers {
        private final Entry from;

        Peers(Entry from) {
            this.from = from;
        }

        @Override
        public CompletableFuture<PermitReply> requestPermit(String entry, PermitQuery query) {
            Entry to = entry(entry);
            CompletableFuture<PermitReply> reply = new CompletableFuture<>();
            if (to == from) {
                to.homes.request(query, reply::complete);
                return reply;
            }
            messageCount += 2;
            if (!reaches(from, to) || isFaulty()) {
                reply.completeExceptionally(new IllegalStateException("not reached"));
                return reply;
            }
            boolean isReplyLost = isFaulty();
            PermitHomes process = to.homes;
            to.homes.request(query, r -> {
                if (isReplyLost || !reaches(from, to) || process != to.homes) {
                    reply.completeExceptionally(new IllegalStateException("reply lost"));
                } else {
                    reply.complete(r);
                }
            });
            return reply;
        }

        @Override
        public void reportLimit(String entry, UpstreamStart start, long permit, @Nullable RequestLimit named) {
            Entry to = entry(entry);
            deliver(from, to, () -> {
                if (to.homes.onReport(start, permit, named) && named != null) {
                    sendNotice(to, start, named, to.homes.nextNoticeNumber(start));
                }
            });
        }
    }

    private void sendNotice(Entry from, UpstreamStart start, RequestLimit named, long number) {
        from.homes.noticeReceivers(start).forEach(receiver -> {
            Entry to = entry(receiver);
            deliver(from, to, () -> {
                if (to.homes.isNewNotice(start, number)) {
                    to.limits.onNamed(start, named);
                    sendNotice(to, start, named, number);
                }
            });
        });
    }

    private void deliver(Entry from, Entry to, Runnable effect) {
        if (from == to) {
            effect.run();
            return;
        }
        messageCount++;
        if (!reaches(from, to) || isFaulty()) {
            return;
        }
        int copies = isFaulty() ? 2 : 1;
        IntStream.range(0, copies)
                .forEach(
                        c -> scheduler.schedule(effect, isFaulty() ? random.nextInt(2_000) : 1, TimeUnit.MILLISECONDS));
    }

    private boolean isFaulty() {
        return random.nextDouble() < faultRate;
    }

    private static boolean reaches(Entry from, Entry to) {
        return !from.down && !to.down && !from.cutOff && !to.cutOff;
    }

    /** Lets each entry know the ones that are not down. */
    void updateMembers() {
        Set<String> running = IntStream.range(0, entries.length)
                .filter(i -> !entries[i].down)
                .mapToObj(PermitFleet::name)
                .collect(Collectors.toSet());
        for (Entry entry : entries) {
            entry.homes.setOtherEntries(
                    running.stream().filter(n -> !n.equals(name(entry.index))).collect(Collectors.toSet()));
        }
    }

    /** Starts the upstream anew; what it named before is void. */
    void restartUpstream() {
        upstream = upstream(upstream.startMillis() + 1);
        for (Entry entry : entries) {
            entry.told = false;
        }
    }

    /** Returns the entry from which the permits come while all are running. */
    Entry home() {
        List<String> names = IntStream.range(0, entries.length)
                .mapToObj(PermitFleet::name)
                .sorted()
                .toList();
        String key = upstream.id() + "@" + upstream.startMillis();
        return entry(RendezvousHash.order(key, names, n -> n).get(0));
    }

    private Entry entry(String name) {
        return entries[Integer.parseInt(name.substring("entry-".length()))];
    }

    /** Runs steps; the action of each gives the entries their requests. */
    void run(int steps, IntConsumer action) {
        for (int step = 0; step < steps; step++) {
            countedNow = 0;
            arrivedNow = 0;
            action.accept(step);
            scheduler.runFor(Duration.ofNanos(STEP_NANOS));
            countedArrivals.add(countedNow);
            allArrivals.add(arrivedNow);
        }
    }

    /** Returns the most arrivals of a window from entries that had been told before, and clears the record. */
    int takeMostCountedInWindow() {
        int most = mostInWindow(countedArrivals);
        countedArrivals.clear();
        return most;
    }

    /** Returns the most arrivals of a window from all entries. */
    int mostArrivedInWindow() {
        return mostInWindow(allArrivals);
    }

    int takeTotalArrived() {
        int total = allArrivals.stream().mapToInt(i -> i).sum();
        allArrivals.clear();
        return total;
    }

    private static int mostInWindow(List<Integer> arrivals) {
        return IntStream.rangeClosed(0, Math.max(0, arrivals.size() - WINDOW_STEPS))
                .map(i -> arrivals.subList(i, Math.min(arrivals.size(), i + WINDOW_STEPS)).stream()
                        .mapToInt(n -> n)
                        .sum())
                .max()
                .orElse(0);
    }
}
