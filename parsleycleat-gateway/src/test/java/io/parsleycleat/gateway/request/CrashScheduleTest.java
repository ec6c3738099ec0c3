package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.request.outcome.CrashAttribution;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.crash.CrashDetector;
import io.parsleycleat.gateway.request.crash.InterruptedRequest;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.QuarantinedPart;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays seeded schedules of entries and engines in which some requests carry deadly prompt parts, while messages
 * between entries are late, lost or doubled, entries restart, and engines are killed for other reasons too.
 */
public class CrashScheduleTest {
    private static final int SEEDS = 60;
    private static final int ENTRIES = 5;
    private static final int ENGINES = 8;
    private static final int STEP_MILLIS = 20;
    private static final int STEPS = 2_000;
    private static final int ENGINE_DOWN_MILLIS = 3_000;
    private static final int DEADLY_FROM_MILLIS = 4_000;
    private static final int BEGIN_MILLIS = 150;
    private static final int ANSWER_MILLIS = 2_000;
    private static final int RECORD_INTERVAL_MILLIS = 2_500;
    /** Crashes after which few more requests with the part may be sent, once entries had time to hear of it. */
    private static final int CRASHES_TO_RECOGNISE = 5;

    private static final int NOTICE_MILLIS = 3_000;
    private static final int MAX_LATE_REQUESTS = 3;
    private static final Logger LOGGER = Logger.getLogger(CrashDetector.class.getName());

    /** A request that runs on an engine. */
    private record Run(int entry, int request, List<String> parts, boolean deadly, int startMillis) {}

    private static final class Engine {
        private int downUntilMillis;
        private int start = 1;
        private final List<Run> runs = new ArrayList<>();
    }

    /** The schedule of one seed. */
    private static final class Fleet {
        private final Random random;
        private final ManualTimeSource time = new ManualTimeSource();
        private final CrashDetector[] entries = new CrashDetector[ENTRIES];
        private final Map<Integer, List<QuarantinedPart>> records = new HashMap<>();
        private final List<Engine> engines =
                IntStream.range(0, ENGINES).mapToObj(i -> new Engine()).toList();
        private final Map<Integer, List<Runnable>> due = new HashMap<>();
        private final List<String> deadlyParts;
        private final Map<String, Integer> crashes = new HashMap<>();
        private final Map<String, Integer> recognisableFrom = new HashMap<>();
        private final Map<String, Integer> lateRequests = new HashMap<>();
        private int now;
        private int requests;
        private int soundOffered;
        private int soundRefused;

        Fleet(long seed, List<String> deadlyParts) {
            this.random = new Random(seed);
            this.deadlyParts = deadlyParts;
            IntStream.range(0, ENTRIES).forEach(this::startEntry);
        }

        private void startEntry(int entry) {
            entries[entry] =
                    new CrashDetector(new CrashAttribution(() -> 0), time, message -> broadcast(entry, message));
            records.values().forEach(entries[entry]::onQuarantinedParts);
        }

        private void broadcast(int from, GateMessage message) {
            IntStream.range(0, ENTRIES).filter(to -> to != from).forEach(to -> {
                int copies = random.nextInt(10) == 0 ? 0 : 1 + random.nextInt(5) / 4;
                IntStream.range(0, copies).forEach(c -> after(random.nextInt(300), () -> deliver(to, message)));
            });
        }

        private void deliver(int to, GateMessage message) {
            if (message.hasCrash()) {
                entries[to].onCrashNotice(message.getCrash());
            } else {
                entries[to].onPartNotice(message.getParts());
            }
        }

        private void after(int millis, Runnable action) {
            int step = (now + millis) / STEP_MILLIS + 1;
            due.computeIfAbsent(step, s -> new ArrayList<>()).add(action);
        }

        void play() {
            for (int step = 0; step < STEPS; step++) {
                now = step * STEP_MILLIS;
                Optional.ofNullable(due.remove(step)).ifPresent(actions -> actions.forEach(Runnable::run));
                offerRequests();
                engines.forEach(this::progress);
                disturb();
                time.advanceMillis(STEP_MILLIS);
            }
        }

        private void disturb() {
            if (random.nextInt(400) == 0) {
                crash(engines.get(random.nextInt(ENGINES)));
            }
            if (random.nextInt(500) == 0) {
                startEntry(random.nextInt(ENTRIES));
            }
            if (now % RECORD_INTERVAL_MILLIS == 0) {
                IntStream.range(0, ENTRIES).forEach(e -> records.put(e, entries[e].quarantinedParts()));
                IntStream.range(0, ENTRIES).forEach(e -> records.values().forEach(entries[e]::onQuarantinedParts));
            }
        }

        private void offerRequests() {
            if (random.nextInt(3) == 0) {
                return;
            }
            requests++;
            boolean deadly = now > DEADLY_FROM_MILLIS && random.nextInt(15) == 0;
            String deadlyPart = deadlyParts.get(random.nextInt(deadlyParts.size()));
            String middle = "middle-" + (int) Math.abs(random.nextGaussian() * 10);
            List<String> parts = deadly ? List.of("first", "middle-0", deadlyPart) : List.of("first", middle);
            int entry = random.nextInt(ENTRIES);
            boolean admitted = entries[entry].admit("request-" + requests, parts);
            if (!deadly && now > DEADLY_FROM_MILLIS) {
                soundOffered++;
                soundRefused += admitted ? 0 : 1;
            }
            if (admitted) {
                start(new Run(entry, requests, parts, deadly, now));
            }
        }

        private void start(Run run) {
            List<Engine> up =
                    engines.stream().filter(e -> e.downUntilMillis <= now).toList();
            if (up.isEmpty()) {
                return;
            }
            if (run.deadly() && now > recognisableFrom.getOrDefault(run.parts().get(2), Integer.MAX_VALUE)) {
                lateRequests.merge(run.parts().get(2), 1, Integer::sum);
            }
            up.get(random.nextInt(up.size())).runs.add(run);
        }

        private void progress(Engine engine) {
            List<Run> begun = engine.runs.stream()
                    .filter(r -> now - r.startMillis() >= BEGIN_MILLIS)
                    .toList();
            Optional<Run> deadly = begun.stream().filter(Run::deadly).findFirst();
            if (deadly.isPresent()) {
                String part = deadly.get().parts().get(2);
                if (crashes.merge(part, 1, Integer::sum) == CRASHES_TO_RECOGNISE) {
                    recognisableFrom.put(part, now + NOTICE_MILLIS);
                }
                crash(engine);
                return;
            }
            begun.stream()
                    .filter(r -> now - r.startMillis() >= ANSWER_MILLIS)
                    .forEach(r -> entries[r.entry()].onRequestSurvived("request-" + r.request(), r.parts()));
            engine.runs.removeIf(r -> now - r.startMillis() >= ANSWER_MILLIS);
        }

        private void crash(Engine engine) {
            Upstream crashed = new Upstream(
                    "engine-" + engines.indexOf(engine),
                    "s",
                    new InetSocketAddress("127.0.0.1", 1),
                    "here",
                    engine.start,
                    false,
                    8,
                    Map.of());
            engine.runs.forEach(r -> entries[r.entry()].onConnectionLost(crashed, interrupted(r)));
            IntStream.range(0, ENTRIES)
                    .forEach(e -> after(random.nextInt(200), () -> entries[e].onUpstreamDown(crashed)));
            engine.runs.clear();
            engine.start++;
            engine.downUntilMillis = now + ENGINE_DOWN_MILLIS;
        }

        private InterruptedRequest interrupted(Run run) {
            int age = now - run.startMillis() - BEGIN_MILLIS;
            boolean answered = age > 0 && !run.deadly();
            return new InterruptedRequest(
                    "id",
                    "request-" + run.request(),
                    run.parts(),
                    answered ? Optional.of(Duration.ofMillis(age)) : Optional.empty());
        }
    }

    @BeforeClass
    public void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    @AfterClass
    public void restoreLog() {
        LOGGER.setLevel(null);
    }

    @DataProvider
    public Object[][] schedules() {
        return IntStream.range(0, SEEDS)
                .mapToObj(seed ->
                        new Object[] {seed, seed % 2 == 0 ? List.of("deadly") : List.of("deadly-1", "deadly-2")})
                .toArray(Object[][]::new);
    }

    /** Guards against entries that learn too late, or forget at a restart, which prompt part crashes engines. */
    @Test(dataProvider = "schedules")
    public void deadlyPartsStopReachingEnginesAndSoundRequestsAreServed(long seed, List<String> deadlyParts) {
        Fleet fleet = new Fleet(seed, deadlyParts);
        fleet.play();
        fleet.lateRequests.forEach((part, late) -> assertTrue(
                late <= MAX_LATE_REQUESTS, late + " requests with " + part + " were sent too late, seed " + seed));
        assertTrue(
                fleet.soundRefused * 2 < fleet.soundOffered,
                fleet.soundRefused + " of " + fleet.soundOffered + " sound requests refused, seed " + seed);
    }
}
