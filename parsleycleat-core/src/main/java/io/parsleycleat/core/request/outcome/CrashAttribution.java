package io.parsleycleat.core.request.outcome;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;

/**
 * Decides which parts of prompts and which single requests crash upstreams, from the requests that were at risk of
 * having caused each crash.
 *
 * <p>A crash interrupts sound requests too, and these share parts with the request that caused it. Three observations
 * separate them: a part on which an answer was written for a while is sound; the deadly part is at risk in every crash;
 * and a crash that a quarantined part explains counts against nothing else. Of parts that were always at risk together
 * the last one in the prompt is quarantined, since fewest requests carry it; if it was another one, further crashes
 * will be unexplained.
 *
 * <p>A part may be quarantined wrongly. Its first quarantine is therefore short; after it one request with the part is
 * admitted on trial, whose survival clears the part and whose crash repeats the quarantine for several times as long.
 * Processes try at different times, so that the others mostly hear of the first trial before their own.
 *
 * <p>Time is passed in, in milliseconds of the time of day. One per process; guarded by its own lock.
 */
public final class CrashAttribution {
    /** Crashes after which the part that was at risk in most of them is in quarantine. */
    static final int MIN_CRASHES_OF_PART = 3;
    /** Crashes after which all parts that were at risk in most of them are, if nothing distinguishes them. */
    private static final int MAX_CRASHES_OF_PART = 5;
    /** Distinct requests that must have carried a part; crashes of one request alone are attributed to that request. */
    private static final int MIN_REQUESTS_OF_PART = 2;

    private static final int MAX_CRASHES_OF_REQUEST = 2;
    /** How long an answer shows that its parts are sound; longer than an outage of all upstreams of a service. */
    private static final Duration SURVIVAL_MEMORY = Duration.ofSeconds(30);

    private static final Duration CRASH_MEMORY = Duration.ofMinutes(10);
    private static final Duration REQUEST_QUARANTINE = Duration.ofMinutes(2);
    private static final Duration FIRST_PART_QUARANTINE = Duration.ofMinutes(1);
    private static final int QUARANTINE_GROWTH = 4;
    private static final Duration MAX_PART_QUARANTINE = Duration.ofHours(24);
    /** How long a trial may take before the next one begins. */
    private static final Duration TRIAL_TIME = Duration.ofSeconds(15);

    /** The longest time between the end of a quarantine and a trial, in lengths of the quarantine. */
    private static final double MAX_TRIAL_DELAY = 0.5;

    private static final int MAX_CRASHES_KEPT = 64;
    private static final int MAX_REQUESTS_PER_CRASH = 1_024;
    private static final int MAX_SURVIVORS_KEPT = 8_192;
    private static final int MAX_PARTS_KEPT = 256;

    private final DoubleSupplier random;
    private final Map<String, Crash> crashes = new BoundedMap<>(MAX_CRASHES_KEPT);
    private final Map<String, Long> partSurvivals = new BoundedMap<>(MAX_SURVIVORS_KEPT);
    private final Map<String, Long> requestSurvivals = new BoundedMap<>(MAX_SURVIVORS_KEPT);
    private final Map<String, PartQuarantine> partQuarantines = new BoundedMap<>(MAX_PARTS_KEPT);
    private final Map<String, Long> nextTrials = new BoundedMap<>(MAX_PARTS_KEPT);
    private Map<String, Long> requestQuarantineEnds = Map.of();

    /**
     * A request that was at risk of having caused a crash.
     *
     * @param fingerprint identifies repeats of the same request
     * @param sharedParts the parts of its prompt that other requests may share, in the order of the prompt
     */
    public record RequestAtRisk(String fingerprint, List<String> sharedParts) {
        public RequestAtRisk {
            Objects.requireNonNull(fingerprint, "fingerprint");
            sharedParts = List.copyOf(sharedParts);
        }
    }

    /**
     * The quarantine of a part. It is kept after its end, until a trial decides.
     *
     * @param endMillis in milliseconds of the time of day
     * @param length its whole length, from which the next one follows
     */
    public record PartQuarantine(long endMillis, Duration length) {
        public PartQuarantine {
            Objects.requireNonNull(length, "length");
        }
    }

    /**
     * The quarantines that begin with a crash.
     *
     * @param parts by the id of the part
     * @param requests fingerprints
     */
    public record NewQuarantines(Map<String, PartQuarantine> parts, Set<String> requests) {
        public NewQuarantines {
            parts = Map.copyOf(parts);
            requests = Set.copyOf(requests);
        }
    }

    /** One crash, with all requests that were at risk, which several processes report one after another. */
    private static final class Crash {
        private final long firstReportMillis;
        private final Map<String, RequestAtRisk> requests = new HashMap<>();

        Crash(long firstReportMillis) {
            this.firstReportMillis = firstReportMillis;
        }
    }

    /** What speaks against a part: the unexplained crashes with it at risk, and the requests that carried it. */
    private static final class Evidence {
        private final String part;
        private final Set<Crash> crashes = new HashSet<>();
        private final Map<String, RequestAtRisk> requests = new HashMap<>();

        Evidence(String part) {
            this.part = part;
        }
    }

    /** Drops the entry that was not used for longest when it is full. */
    private static final class BoundedMap<V> extends LinkedHashMap<String, V> {
        private static final long serialVersionUID = 1L;
        private static final int INITIAL_CAPACITY = 16;
        private static final float LOAD_FACTOR = 0.75f;

        private final int maxSize;

        BoundedMap(int maxSize) {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
            this.maxSize = maxSize;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
            return size() > maxSize;
        }
    }

    /**
     * Creates an attribution without observations.
     *
     * @param random numbers from 0 to 1, by which processes try a part at different times after its quarantine
     */
    public CrashAttribution(DoubleSupplier random) {
        this.random = random;
    }

    // Observations

    /**
     * Records requests that were at risk when an upstream crashed. Reports of one crash by several processes are
     * merged, and a repeated report changes nothing.
     *
     * @param upstreamStart identifies the start of the upstream that crashed
     */
    public synchronized NewQuarantines onCrash(String upstreamStart, Collection<RequestAtRisk> atRisk, long nowMillis) {
        crashes.values().removeIf(c -> c.firstReportMillis < nowMillis - CRASH_MEMORY.toMillis());
        partQuarantines.values().removeIf(q -> q.endMillis() < nowMillis - MAX_PART_QUARANTINE.toMillis());
        Crash crash = crashes.computeIfAbsent(upstreamStart, s -> new Crash(nowMillis));
        atRisk.stream()
                .limit(Math.max(0, MAX_REQUESTS_PER_CRASH - crash.requests.size()))
                .forEach(r -> crash.requests.put(r.fingerprint(), r));
        Map<String, PartQuarantine> parts = quarantineParts(nowMillis);
        return new NewQuarantines(parts, quarantineRequests());
    }

    /** Records that a request was answered as a whole, so that it did not cause any crash so far. */
    public synchronized void onRequestSurvived(String fingerprint, long nowMillis) {
        requestSurvivals.put(fingerprint, nowMillis);
    }

    /**
     * Records that an answer on these parts was written for a while without a crash.
     *
     * @return the parts that were quarantined wrongly and are cleared now
     */
    public synchronized List<String> onPartsSurvived(Collection<String> parts, long nowMillis) {
        List<String> cleared =
                parts.stream().filter(partQuarantines::containsKey).toList();
        parts.forEach(p -> onPartCleared(p, nowMillis));
        return cleared;
    }

    /**
     * Takes the quarantine of a part from another process.
     *
     * @return false if the part is known to be sound here, so that the other process should be told
     */
    public synchronized boolean onPartQuarantined(String part, PartQuarantine quarantine, long nowMillis) {
        if (survivedRecently(part, nowMillis)) {
            return false;
        }
        PartQuarantine known = partQuarantines.get(part);
        if (known == null || known.endMillis() < quarantine.endMillis()) {
            put(part, quarantine);
        }
        return true;
    }

    /** Records that a part is known to be sound, which ends its quarantine. */
    public synchronized void onPartCleared(String part, long nowMillis) {
        partSurvivals.put(part, nowMillis);
        partQuarantines.remove(part);
        nextTrials.remove(part);
    }

    // Questions

    /** Returns whether a request is in quarantine, alone or for a part of its prompt. */
    public synchronized boolean isQuarantined(String fingerprint, Collection<String> sharedParts, long nowMillis) {
        return requestQuarantineEnds.getOrDefault(fingerprint, 0L) > nowMillis
                || quarantinedPart(sharedParts, nowMillis).isPresent();
    }

    /**
     * Returns whether a new request may be sent. Where the quarantine of a part has ended, one request at a time is
     * admitted on trial until its outcome is known.
     */
    public synchronized boolean admit(String fingerprint, Collection<String> sharedParts, long nowMillis) {
        if (isQuarantined(fingerprint, sharedParts, nowMillis)) {
            return false;
        }
        List<String> onTrial =
                sharedParts.stream().filter(partQuarantines::containsKey).toList();
        if (onTrial.stream().anyMatch(p -> nextTrials.getOrDefault(p, 0L) > nowMillis)) {
            return false;
        }
        onTrial.forEach(p -> nextTrials.put(p, nowMillis + TRIAL_TIME.toMillis()));
        return true;
    }

    /** Returns the first of the given parts that is in quarantine. */
    public synchronized Optional<String> quarantinedPart(Collection<String> sharedParts, long nowMillis) {
        return sharedParts.stream().filter(p -> isInQuarantine(p, nowMillis)).findFirst();
    }

    /** Returns the quarantines of parts, with those that have ended and were not decided by a trial. */
    public synchronized Map<String, PartQuarantine> partQuarantines() {
        return Map.copyOf(partQuarantines);
    }

    /** Returns whether an answer on a part was written a short time before. */
    public synchronized boolean survivedRecently(String part, long nowMillis) {
        Long survived = partSurvivals.get(part);
        return survived != null && survived > nowMillis - SURVIVAL_MEMORY.toMillis();
    }

    // Attribution

    private Map<String, PartQuarantine> quarantineParts(long nowMillis) {
        Map<String, PartQuarantine> begun = new HashMap<>();
        List<String> deadly = deadlyParts();
        while (!begun.keySet().containsAll(deadly)) {
            deadly.forEach(p -> begun.computeIfAbsent(p, k -> quarantine(k, nowMillis)));
            deadly = deadlyParts();
        }
        return begun;
    }

    private PartQuarantine quarantine(String part, long nowMillis) {
        PartQuarantine before = partQuarantines.get(part);
        Duration grown =
                before == null ? FIRST_PART_QUARANTINE : before.length().multipliedBy(QUARANTINE_GROWTH);
        Duration length = grown.compareTo(MAX_PART_QUARANTINE) > 0 ? MAX_PART_QUARANTINE : grown;
        PartQuarantine quarantine = new PartQuarantine(nowMillis + length.toMillis(), length);
        put(part, quarantine);
        return quarantine;
    }

    /** Begins a quarantine, whose first trial here comes at a random time after its end. */
    private void put(String part, PartQuarantine quarantine) {
        partQuarantines.put(part, quarantine);
        long delay = (long) (random.getAsDouble() * quarantine.length().toMillis() * MAX_TRIAL_DELAY);
        nextTrials.put(part, quarantine.endMillis() + delay);
    }

    /** Returns the part to which the unexplained crashes are attributed; several if nothing distinguishes them. */
    private List<String> deadlyParts() {
        List<Evidence> evidence = evidence();
        List<String> failedTrials =
                evidence.stream().map(e -> e.part).filter(this::hasFailedTrial).toList();
        if (!failedTrials.isEmpty()) {
            return failedTrials;
        }
        List<Evidence> shared = evidence.stream()
                .filter(e -> e.requests.size() >= MIN_REQUESTS_OF_PART)
                .toList();
        int most = shared.stream().mapToInt(e -> e.crashes.size()).max().orElse(0);
        if (most < MIN_CRASHES_OF_PART) {
            return List.of();
        }
        List<Evidence> mostCrashed =
                shared.stream().filter(e -> e.crashes.size() == most).toList();
        List<String> parts = mostCrashed.stream().map(e -> e.part).toList();
        return lastPartOfCommonRequest(parts, mostCrashed.get(0).requests.values())
                .map(List::of)
                .orElse(most >= MAX_CRASHES_OF_PART ? parts : List.of());
    }

    /** Returns which of several parts comes last in the prompts that carry all of them, if there is such a prompt. */
    private static Optional<String> lastPartOfCommonRequest(List<String> parts, Collection<RequestAtRisk> requests) {
        return requests.stream()
                .map(RequestAtRisk::sharedParts)
                .filter(carried -> carried.containsAll(parts))
                .map(carried -> carried.stream().filter(parts::contains).reduce("", (first, next) -> next))
                .min(Comparator.naturalOrder());
    }

    /** Collects the evidence against all parts that are not known to be sound. */
    private List<Evidence> evidence() {
        Map<String, Evidence> byPart = new HashMap<>();
        unexplainedCrashes().forEach(crash -> crash.requests.values().forEach(request -> request.sharedParts().stream()
                .filter(p -> !survivedRecently(p, crash.firstReportMillis))
                .forEach(p -> {
                    Evidence evidence = byPart.computeIfAbsent(p, Evidence::new);
                    evidence.crashes.add(crash);
                    evidence.requests.put(request.fingerprint(), request);
                })));
        return List.copyOf(byPart.values());
    }

    /** Returns whether a part that was in quarantine was at risk in a crash after that, which is not explained yet. */
    private boolean hasFailedTrial(String part) {
        return partQuarantines.containsKey(part);
    }

    /** Returns the crashes with no part at risk that was quarantined for them or before them. */
    private List<Crash> unexplainedCrashes() {
        return crashes.values().stream()
                .filter(c -> c.requests.values().stream()
                        .flatMap(r -> r.sharedParts().stream())
                        .noneMatch(p -> explains(p, c)))
                .toList();
    }

    private boolean explains(String part, Crash crash) {
        PartQuarantine quarantine = partQuarantines.get(part);
        return quarantine != null && crash.firstReportMillis <= quarantine.endMillis();
    }

    /** Renews the quarantines of single requests and returns the fingerprints that are new among them. */
    private Set<String> quarantineRequests() {
        Map<String, List<Crash>> crashesByRequest = new HashMap<>();
        unexplainedCrashes().forEach(c -> c.requests.keySet().stream()
                .filter(f -> requestSurvivals.getOrDefault(f, 0L) < c.firstReportMillis)
                .forEach(f -> crashesByRequest
                        .computeIfAbsent(f, k -> new ArrayList<>())
                        .add(c)));
        crashesByRequest.values().removeIf(c -> c.size() < MAX_CRASHES_OF_REQUEST);
        Map<String, Long> before = requestQuarantineEnds;
        requestQuarantineEnds = crashesByRequest.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, e -> quarantineEnd(e.getValue())));
        return requestQuarantineEnds.keySet().stream()
                .filter(f -> !before.containsKey(f))
                .collect(Collectors.toUnmodifiableSet());
    }

    private static long quarantineEnd(List<Crash> crashes) {
        return crashes.stream().mapToLong(c -> c.firstReportMillis).max().orElse(0) + REQUEST_QUARANTINE.toMillis();
    }

    private boolean isInQuarantine(String part, long nowMillis) {
        PartQuarantine quarantine = partQuarantines.get(part);
        return quarantine != null && quarantine.endMillis() > nowMillis;
    }
}
