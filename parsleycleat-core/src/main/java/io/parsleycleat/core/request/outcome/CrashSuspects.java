package io.parsleycleat.core.request.outcome;

import com.google.common.hash.Hashing;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.outcome.CrashAttribution.RequestAtRisk;
import io.parsleycleat.wire.outcome.CrashReport;
import io.parsleycleat.wire.outcome.QuarantineNotice;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Which requests are suspected of crashing upstreams, and which are in quarantine.
 *
 * <p>Requests that differ may share the beginning of a prompt that crashes upstreams. It goes into quarantine under a
 * fingerprint of its own, when {@link CrashAttribution} attributes crashes to it.
 *
 * <p>A request that was running when an upstream crashed is a suspect. A suspect runs again only on its trial upstream,
 * beside no other suspect; when it ends well the suspicion ends, and at its second crash it goes into quarantine. All
 * entries choose the same trial upstream, whose side starts one copy at a time, so two crashes are the bound whichever
 * entries the repeats come through.
 *
 * <p>Time is passed in. One an entry and one a side; safe to share between threads.
 */
public final class CrashSuspects {
    private static final int MAX_CRASHES = 2;
    private static final int SHARDS = 16;
    private static final String PREFIX_KEY = "prefix-";

    private final Duration suspicion;
    private final Duration quarantine;
    private final CrashAttribution prefixes = new CrashAttribution(() -> 0);
    private final List<Map<String, Entry>> shards = IntStream.range(0, SHARDS)
            .<Map<String, Entry>>mapToObj(i -> new HashMap<>())
            .toList();

    /** What may be done with a request. */
    public enum Standing {
        CLEAR,
        SUSPECT,
        QUARANTINED
    }

    private static final class Entry {
        private final Map<Crash, CrashReport> crashes = new HashMap<>();
        private long suspicionEndsMillis;
        private long quarantineEndsMillis;
        private boolean recorded;

        boolean isOver(long nowMillis) {
            return suspicionEndsMillis <= nowMillis && quarantineEndsMillis <= nowMillis;
        }
    }

    private record Crash(String upstreamId, String incarnation) {}

    /** Creates an empty set; a suspicion and a quarantine end after the given times. */
    public CrashSuspects(Duration suspicion, Duration quarantine) {
        this.suspicion = Objects.requireNonNull(suspicion, "suspicion");
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine");
    }

    // Reports

    /** Takes a crash report; one that arrives again counts once. Returns the quarantines that begin with it. */
    public List<QuarantineNotice> onCrash(CrashReport report, long nowMillis) {
        Crash crash = new Crash(report.getUpstreamId(), report.getUpstreamIncarnation());
        Stream<QuarantineNotice> requests = report.getFingerprintsList().stream()
                .distinct()
                .flatMap(f -> onCrash(f, crash, report, nowMillis).stream());
        return Stream.concat(requests, quarantinePrefixes(report, nowMillis)).toList();
    }

    private Stream<QuarantineNotice> quarantinePrefixes(CrashReport report, long nowMillis) {
        List<RequestAtRisk> atRisk = report.getRequestsList().stream()
                .filter(r -> r.getPrefixHash() != 0)
                .map(r -> new RequestAtRisk(r.getFingerprint(), List.of(prefixFingerprint(r.getPrefixHash()))))
                .toList();
        String start = report.getUpstreamId() + '/' + report.getUpstreamIncarnation();
        return prefixes.onCrash(start, atRisk, nowMillis).parts().entrySet().stream()
                .map(e -> QuarantineNotice.newBuilder()
                        .setFingerprint(e.getKey())
                        .setCrashes(CrashAttribution.MIN_CRASHES_OF_PART)
                        .setEndsAtMillis(e.getValue().endMillis())
                        .build())
                .filter(notice -> onNotice(notice, nowMillis));
    }

    /** Returns the fingerprint under which the beginning of a prompt goes into quarantine. */
    public static String prefixFingerprint(long prefixHash) {
        return PREFIX_KEY + Long.toHexString(prefixHash);
    }

    private Optional<QuarantineNotice> onCrash(String fingerprint, Crash crash, CrashReport report, long nowMillis) {
        Map<String, Entry> shard = shard(fingerprint);
        synchronized (shard) {
            shard.values().removeIf(e -> e.isOver(nowMillis));
            Entry entry = shard.computeIfAbsent(fingerprint, f -> new Entry());
            if (entry.crashes.putIfAbsent(crash, report) != null) {
                return Optional.empty();
            }
            entry.suspicionEndsMillis = nowMillis + suspicion.toMillis();
            if (entry.crashes.size() < MAX_CRASHES || entry.quarantineEndsMillis > nowMillis) {
                return Optional.empty();
            }
            entry.quarantineEndsMillis = nowMillis + quarantine.toMillis();
            return Optional.of(QuarantineNotice.newBuilder()
                    .setFingerprint(fingerprint)
                    .setCrashes(entry.crashes.size())
                    .setEndsAtMillis(entry.quarantineEndsMillis)
                    .build());
        }
    }

    /** Takes another process's quarantine. Returns whether it was new here. */
    public boolean onNotice(QuarantineNotice notice, long nowMillis) {
        Map<String, Entry> shard = shard(notice.getFingerprint());
        synchronized (shard) {
            if (notice.getEndsAtMillis() <= nowMillis
                    || prefixes.survivedRecently(notice.getFingerprint(), nowMillis)) {
                return false;
            }
            Entry entry = shard.computeIfAbsent(notice.getFingerprint(), f -> new Entry());
            boolean isNew = entry.quarantineEndsMillis <= nowMillis;
            entry.quarantineEndsMillis = Math.max(entry.quarantineEndsMillis, notice.getEndsAtMillis());
            return isNew;
        }
    }

    /**
     * Takes what the configuration says of a request: the end of its recorded quarantine, or 0 when none is recorded. A
     * record that was there and is gone was removed by an operator and ends the quarantine here.
     */
    public void onConfiguration(String fingerprint, long recordedEndMillis) {
        Map<String, Entry> shard = shard(fingerprint);
        synchronized (shard) {
            if (recordedEndMillis > 0) {
                Entry entry = shard.computeIfAbsent(fingerprint, f -> new Entry());
                entry.recorded = true;
                entry.quarantineEndsMillis = Math.max(entry.quarantineEndsMillis, recordedEndMillis);
            } else {
                @Nullable Entry entry = shard.get(fingerprint);
                if (entry != null && entry.recorded) {
                    shard.remove(fingerprint);
                }
            }
        }
    }

    /** Ends the suspicion of a request that ran to its end. Returns whether there was one. */
    public boolean onSurvived(String fingerprint, long nowMillis) {
        Map<String, Entry> shard = shard(fingerprint);
        synchronized (shard) {
            @Nullable Entry entry = shard.get(fingerprint);
            if (entry == null || entry.quarantineEndsMillis > nowMillis) {
                return false;
            }
            shard.remove(fingerprint);
            return true;
        }
    }

    /** Records that a request with this beginning of its prompt ran to its end, which ends its quarantine here. */
    public void onPrefixSurvived(long prefixHash, long nowMillis) {
        if (prefixHash == 0) {
            return;
        }
        String fingerprint = prefixFingerprint(prefixHash);
        prefixes.onPartsSurvived(List.of(fingerprint), nowMillis);
        Map<String, Entry> shard = shard(fingerprint);
        synchronized (shard) {
            shard.remove(fingerprint);
        }
    }

    // Questions

    /** Returns what may be done with a request. */
    public Standing standing(String fingerprint, long nowMillis) {
        Map<String, Entry> shard = shard(fingerprint);
        synchronized (shard) {
            @Nullable Entry entry = shard.get(fingerprint);
            if (entry == null || entry.isOver(nowMillis)) {
                return Standing.CLEAR;
            }
            return entry.quarantineEndsMillis > nowMillis ? Standing.QUARANTINED : Standing.SUSPECT;
        }
    }

    /** Returns the refusal of a request that is in quarantine itself or for the beginning of its prompt. */
    public Optional<Refusal> refusal(String fingerprint, long prefixHash, long nowMillis) {
        return refusal(fingerprint, nowMillis)
                .or(() -> prefixHash == 0 ? Optional.empty() : refusal(prefixFingerprint(prefixHash), nowMillis));
    }

    /** Returns the refusal of a request in quarantine, with the time that is left. */
    public Optional<Refusal> refusal(String fingerprint, long nowMillis) {
        Map<String, Entry> shard = shard(fingerprint);
        synchronized (shard) {
            @Nullable Entry entry = shard.get(fingerprint);
            long left = entry == null ? 0 : entry.quarantineEndsMillis - nowMillis;
            return left > 0
                    ? Optional.of(Refusal.of(ResultCode.QUARANTINED).withRetryAfter(Duration.ofMillis(left)))
                    : Optional.empty();
        }
    }

    /** Returns whether a request may start on an upstream where others are running. */
    public boolean mayStart(String fingerprint, Collection<String> running, long nowMillis) {
        return switch (standing(fingerprint, nowMillis)) {
            case CLEAR -> true;
            case SUSPECT -> running.stream().allMatch(f -> standing(f, nowMillis) == Standing.CLEAR);
            case QUARANTINED -> false;
        };
    }

    /** Returns the one upstream that a suspect may run on, preferring those that did not crash with it. */
    public Optional<String> trialUpstream(String fingerprint, Collection<String> upstreamIds) {
        Set<String> crashed = crashedUpstreams(fingerprint);
        Comparator<String> byScore = Comparator.comparingLong(id -> score(fingerprint, id));
        Comparator<String> spared = Comparator.comparing(id -> !crashed.contains(id));
        return upstreamIds.stream().max(spared.thenComparing(byScore).thenComparing(Comparator.naturalOrder()));
    }

    /** Returns the reports that made a request a suspect, for telling them to the side of its trial upstream. */
    public List<CrashReport> reports(String fingerprint) {
        Map<String, Entry> shard = shard(fingerprint);
        synchronized (shard) {
            @Nullable Entry entry = shard.get(fingerprint);
            return entry == null ? List.of() : List.copyOf(entry.crashes.values());
        }
    }

    // Internals

    private Set<String> crashedUpstreams(String fingerprint) {
        Set<String> ids = new HashSet<>();
        reports(fingerprint).forEach(r -> ids.add(r.getUpstreamId()));
        return ids;
    }

    private static long score(String fingerprint, String upstreamId) {
        return Hashing.sha256()
                .hashString(fingerprint + '/' + upstreamId, StandardCharsets.UTF_8)
                .asLong();
    }

    private Map<String, Entry> shard(String fingerprint) {
        return shards.get(Math.floorMod(fingerprint.hashCode(), SHARDS));
    }
}
