package io.parsleycleat.gateway.request.permits;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.routing.RendezvousHash;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.request.limits.RequestRate;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Grants permits for the limited upstreams of which this entry is the home or the deputy.
 *
 * <p>All permits for one upstream come from one entry, its home, so that even a limit below one request a second is
 * used by whichever entry has a request. The home is the first entry in the rendezvous order of the upstream, and
 * grants only while no other entry can be its home too. The deputy, the second in that order, grants a smaller rate to
 * entries whose home does not answer or does not grant; both together stay within what the platform tolerates.
 *
 * <p>One instance per entry; guarded by its own lock.
 */
public final class PermitHomes {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Share of the named limit that a deputy grants; home and deputy together stay below one and a half limits. */
    private static final double DEPUTY_SHARE = 0.4;
    /** Entries to which one entry passes on a notice. */
    private static final int NOTICE_FAN_OUT = 8;
    /** Shortest time between two notices of the same limit, which follow when an entry seems not to know of it. */
    private static final Duration NOTICE_INTERVAL = Duration.ofSeconds(1);
    /** Number of queries for each permit that all entries together may make. */
    private static final int QUERIES_PER_PERMIT = 8;
    /** Longest time for which an entry is told not to ask. */
    private static final Duration MAX_CLOSED_TIME = Duration.ofSeconds(10);
    /** Maximum number of upstream starts on record; the oldest one is removed first. */
    private static final int MAX_STARTS = 10_000;

    private final String self;
    private final TimeSource time;
    private final BooleanSupplier membershipConfirmed;
    private final ScheduledExecutorService scheduler;
    private final Map<UpstreamStart, Keeper> keepers = boundedMap();
    private final Map<UpstreamStart, Long> lastNotices = boundedMap();
    private Map<UpstreamStart, List<String>> orders = boundedMap();
    private List<String> entries = List.of();

    /** What this entry keeps of a limited upstream. */
    private static final class Keeper {
        private final boolean isHome;
        private final RequestRate rate;
        private final List<WaitingQuery> waiting = new ArrayList<>();
        private long lastHeardNanos;
        private long lastNoticeNanos;
        private boolean serviceScheduled;

        Keeper(boolean isHome, long firstPermit, long now) {
            this.isHome = isHome;
            this.rate = new RequestRate(isHome ? 1 : DEPUTY_SHARE, firstPermit);
            this.lastHeardNanos = now - TimeUnit.DAYS.toNanos(1);
            this.lastNoticeNanos = lastHeardNanos;
        }
    }

    private record WaitingQuery(PermitQuery query, long arrivalNanos, Consumer<PermitReply> reply) {
        Duration waitLeft(long now) {
            return query.maxWait().minusNanos(now - arrivalNanos);
        }
    }

    /**
     * Creates an instance that knows no other entry yet.
     *
     * @param membershipConfirmed returns whether no other entry can have removed this one from its members
     * @param scheduler runs waiting queries when their turn comes
     */
    public PermitHomes(
            String self, TimeSource time, BooleanSupplier membershipConfirmed, ScheduledExecutorService scheduler) {
        this.self = self;
        this.time = time;
        this.membershipConfirmed = membershipConfirmed;
        this.scheduler = scheduler;
    }

    // Entries

    /** Sets the names of the other entries that are known to exist. */
    public synchronized void setOtherEntries(Set<String> others) {
        List<String> newEntries =
                Stream.concat(others.stream(), Stream.of(self)).sorted().toList();
        if (newEntries.equals(entries)) {
            return;
        }
        entries = newEntries;
        orders = boundedMap();
        Map.copyOf(keepers).forEach((start, keeper) -> {
            if (rank(start) > 1 || (rank(start) == 0) != keeper.isHome) {
                keepers.remove(start);
                keeper.waiting.forEach(w -> w.reply().accept(PermitReply.INACTIVE));
            }
        });
    }

    /** Returns the home of an upstream and then its deputy; none before other entries are known. */
    synchronized List<String> homeAndDeputy(UpstreamStart start) {
        List<String> order = order(start);
        return order.subList(0, Math.min(2, order.size()));
    }

    private List<String> order(UpstreamStart start) {
        return orders.computeIfAbsent(
                start, s -> RendezvousHash.order(s.upstreamId() + "@" + s.startMillis(), entries, e -> e));
    }

    private int rank(UpstreamStart start) {
        return order(start).indexOf(self);
    }

    // Permits

    /** Decides on a query. The reply is called once, possibly before this method returns. */
    public synchronized void request(PermitQuery query, Consumer<PermitReply> reply) {
        Keeper keeper = keeper(query.upstream());
        if (keeper == null) {
            reply.accept(PermitReply.INACTIVE);
            return;
        }
        long now = time.monotonicNanos();
        adopt(keeper, query, now);
        if (keeper.rate.limit().isEmpty()) {
            reply.accept(PermitReply.UNLIMITED);
            return;
        }
        keeper.waiting.add(new WaitingQuery(query, now, reply));
        serve(keeper);
    }

    /**
     * Applies what the asking entry knows if it is newer than what was heard here. A limit that is in force is only
     * lowered by it.
     */
    private void adopt(Keeper keeper, PermitQuery query, long now) {
        boolean isNews = now - query.knownFor().toNanos() - keeper.lastHeardNanos > 0;
        if (isNews) {
            keeper.rate.onAnswer(query.known(), 0, now);
        }
    }

    /** Grants what the limit allows, the most urgent first, and refuses what cannot wait for its turn. */
    private void serve(Keeper keeper) {
        long now = time.monotonicNanos();
        if (keeper.isHome && !membershipConfirmed.getAsBoolean()) {
            keeper.rate.skipTo(now);
            List<WaitingQuery> all = List.copyOf(keeper.waiting);
            keeper.waiting.clear();
            all.forEach(w -> w.reply().accept(PermitReply.INACTIVE));
            return;
        }
        keeper.waiting.sort(
                Comparator.comparingInt((WaitingQuery w) -> w.query().priority())
                        .thenComparingLong(WaitingQuery::arrivalNanos));
        while (!keeper.waiting.isEmpty()) {
            long permit = keeper.rate.tryStart(now);
            if (permit == 0) {
                break;
            }
            keeper.waiting.remove(0).reply().accept(PermitReply.granted(permit));
        }
        keeper.rate
                .beyondWait(List.copyOf(keeper.waiting), w -> w.waitLeft(now), now)
                .forEach(w -> {
                    keeper.waiting.remove(w);
                    w.reply()
                            .accept(PermitReply.refused(
                                    keeper.rate.retryAfter(
                                            keeper.waiting.size(), w.query().priority(), now),
                                    closedFor(keeper, now)));
                });
        scheduleService(keeper, now);
    }

    /** Returns a pause after which all entries together ask some times for each permit, however many they are. */
    private Duration closedFor(Keeper keeper, long now) {
        Duration turn = keeper.rate.waitBehind(keeper.waiting.size(), now);
        Duration paced =
                keeper.rate.startInterval().multipliedBy(entries.size()).dividedBy(QUERIES_PER_PERMIT);
        Duration bounded = paced.compareTo(MAX_CLOSED_TIME) < 0 ? paced : MAX_CLOSED_TIME;
        return turn.compareTo(bounded) > 0 ? turn : bounded;
    }

    private void scheduleService(Keeper keeper, long now) {
        if (keeper.waiting.isEmpty() || keeper.serviceScheduled) {
            return;
        }
        keeper.serviceScheduled = true;
        scheduler.schedule(
                () -> serveScheduled(keeper), keeper.rate.waitBehind(0, now).toNanos(), TimeUnit.NANOSECONDS);
    }

    private synchronized void serveScheduled(Keeper keeper) {
        keeper.serviceScheduled = false;
        serve(keeper);
    }

    private @Nullable Keeper keeper(UpstreamStart start) {
        int rank = rank(start);
        if (rank < 0 || rank > 1) {
            return null;
        }
        return keepers.computeIfAbsent(
                start,
                s -> new Keeper(rank == 0, TimeUnit.MILLISECONDS.toMicros(time.wallMillis()), time.monotonicNanos()));
    }

    /** Returns the limit to which this entry holds an upstream, if it grants permits for it. */
    public synchronized Optional<RequestLimit> limit(UpstreamStart start) {
        return Optional.ofNullable(keepers.get(start)).flatMap(k -> k.rate.limit());
    }

    // Reports and notices

    /**
     * Records which limit an answer of an upstream names.
     *
     * @param permit the permit with which the request was sent; 0 for none
     * @param named null if the answer names no limit
     * @return whether all entries should be told
     */
    public synchronized boolean onReport(UpstreamStart start, long permit, @Nullable RequestLimit named) {
        Keeper keeper = named == null ? keepers.get(start) : keeper(start);
        if (keeper == null) {
            return false;
        }
        long now = time.monotonicNanos();
        boolean changed = keeper.rate.onAnswer(named, permit, now);
        if (changed) {
            logger.atInfo()
                    .with(LogKeys.UPSTREAM, start.upstreamId())
                    .log(
                            "permits are held to %s",
                            keeper.rate
                                    .limit()
                                    .map(l -> l.requestsPerSecond() + " a second")
                                    .orElse("no limit any more"));
        }
        if (changed || named != null) {
            keeper.lastHeardNanos = now;
        }
        if (keeper.rate.limit().isEmpty()) {
            endLimit(keeper);
            return false;
        }
        serve(keeper);
        boolean isUnknownSomewhere = permit == 0 && now - keeper.lastNoticeNanos > NOTICE_INTERVAL.toNanos();
        if (changed || isUnknownSomewhere) {
            keeper.lastNoticeNanos = now;
            return true;
        }
        return false;
    }

    private static void endLimit(Keeper keeper) {
        List<WaitingQuery> all = List.copyOf(keeper.waiting);
        keeper.waiting.clear();
        all.forEach(w -> w.reply().accept(PermitReply.UNLIMITED));
    }

    /** Returns the number of the next notice about an upstream; numbers rise over restarts too. */
    public synchronized long nextNoticeNumber(UpstreamStart start) {
        long number = Math.max(time.wallMillis(), lastNotices.getOrDefault(start, 0L) + 1);
        lastNotices.put(start, number);
        return number;
    }

    /** Returns whether a notice is newer than those received before, and should be passed on. */
    public synchronized boolean isNewNotice(UpstreamStart start, long number) {
        boolean isNew = number > lastNotices.getOrDefault(start, Long.MIN_VALUE);
        if (isNew) {
            lastNotices.put(start, number);
        }
        return isNew;
    }

    /** Returns the entries to which this one passes on notices about an upstream: its children in a tree of all. */
    public synchronized List<String> noticeReceivers(UpstreamStart start) {
        List<String> order = order(start);
        int rank = order.indexOf(self);
        return IntStream.rangeClosed(NOTICE_FAN_OUT * rank + 1, NOTICE_FAN_OUT * (rank + 1))
                .filter(i -> i < order.size())
                .mapToObj(order::get)
                .toList();
    }

    private static <V> Map<UpstreamStart, V> boundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<UpstreamStart, V> eldest) {
                return size() > MAX_STARTS;
            }
        };
    }
}
