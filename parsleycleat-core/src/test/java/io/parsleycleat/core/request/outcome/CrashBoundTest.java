package io.parsleycleat.core.request.outcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.outcome.CrashSuspects.Standing;
import io.parsleycleat.wire.outcome.RunningRequest;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Repeats a request that crashes every upstream through changing entries while messages are delayed and lost. */
public class CrashBoundTest {
    private static final int SEEDS = 200;
    private static final int ENTRIES = 5;
    private static final int UPSTREAMS = 4;
    private static final int REPEATS = 12;
    private static final String BAD = "bad";
    private static final Logger LOGGER = Logger.getLogger(CrashNotices.class.getName());

    private static final class Fleet {
        private final Random random;
        private final ManualTime time = new ManualTime();
        private final Map<String, CrashNotices> processes = new HashMap<>();
        private final Map<String, CrashSuspects> suspects = new HashMap<>();
        private final List<Runnable> messages = new ArrayList<>();
        private int lossPercent;
        private int badCrashes;
        private int incarnations;

        Fleet(long seed, int lossPercent) {
            random = new Random(seed);
            this.lossPercent = lossPercent;
            IntStream.range(0, ENTRIES).forEach(i -> add("entry" + i));
            IntStream.range(0, UPSTREAMS).forEach(i -> add("side" + i));
        }

        private void add(String address) {
            CrashSuspects own = new CrashSuspects(Duration.ofMinutes(10), Duration.ofHours(1));
            suspects.put(address, own);
            List<String> others = IntStream.range(0, ENTRIES)
                    .mapToObj(i -> "entry" + i)
                    .filter(e -> !e.equals(address))
                    .toList();
            processes.put(
                    address, new CrashNotices(own, client(), time, time, () -> others, Optional::of, notice -> {}));
        }

        private PeerClient client() {
            return new PeerClient() {
                @Override
                public CompletableFuture<Frame> request(String address, Frame.Builder frame, Duration timeout) {
                    CompletableFuture<Frame> reply = new CompletableFuture<>();
                    Frame request = frame.setCorrelationId(1).build();
                    if (random.nextInt(100) < lossPercent) {
                        messages.add(() -> reply.completeExceptionally(
                                new PeerException(ResultCode.PEER_TIMEOUT, "lost", address)));
                    } else {
                        messages.add(() -> processes.get(address).handle(channel(reply), request));
                    }
                    return reply;
                }

                @Override
                public void send(String address, Frame.Builder frame) {
                    processes.get(address).handle(channel(new CompletableFuture<>()), frame.build());
                }

                @Override
                public CompletableFuture<PeerChannel> connect(String address) {
                    return CompletableFuture.completedFuture(channel(new CompletableFuture<>()));
                }
            };
        }

        private static PeerChannel channel(CompletableFuture<Frame> reply) {
            return new PeerChannel() {
                @Override
                public Hello hello() {
                    return Hello.getDefaultInstance();
                }

                @Override
                public void send(Frame frame) {
                    reply.complete(frame);
                }

                @Override
                public boolean isWritable() {
                    return true;
                }

                @Override
                public void onClose(Runnable action) {}
            };
        }

        private void deliverSome() {
            while (!messages.isEmpty() && random.nextInt(8) != 0) {
                messages.remove(random.nextInt(messages.size())).run();
            }
        }

        /** Delivers everything, also what is told again later. */
        void drain() {
            for (int i = 0; i < 20; i++) {
                while (!messages.isEmpty()) {
                    messages.remove(random.nextInt(messages.size())).run();
                }
                time.advance(Duration.ofSeconds(2));
            }
        }

        /** Sends a request through an entry, as an entry and a side treat it. Returns whether its upstream crashed. */
        boolean send(String fingerprint, List<String> neighbours) {
            String entry = "entry" + random.nextInt(ENTRIES);
            Standing standing = suspects.get(entry).standing(fingerprint, time.wallMillis());
            if (standing == Standing.QUARANTINED) {
                return false;
            }
            List<String> sides =
                    IntStream.range(0, UPSTREAMS).mapToObj(i -> "side" + i).toList();
            String side = sides.get(random.nextInt(UPSTREAMS));
            if (standing == Standing.SUSPECT) {
                side = suspects.get(entry).trialUpstream(fingerprint, sides).orElseThrow();
                processes.get(entry).forward(fingerprint, side);
            }
            CrashSuspects own = suspects.get(side);
            List<String> beside = neighbours.stream()
                    .filter(n -> own.mayStart(fingerprint, List.of(n), time.wallMillis()))
                    .toList();
            if (!own.mayStart(fingerprint, beside, time.wallMillis())) {
                return false;
            }
            if (!fingerprint.equals(BAD)) {
                processes.get(side).survived(fingerprint);
                return false;
            }
            badCrashes++;
            List<String> running = new ArrayList<>(beside);
            running.add(fingerprint);
            CompletableFuture<Void> known = processes.get(side).crashed(side, "" + incarnations++, asRunning(running));
            while (!known.isDone()) {
                deliverSome();
                time.advance(Duration.ofMillis(10));
            }
            return true;
        }
    }

    private static List<RunningRequest> asRunning(List<String> fingerprints) {
        return fingerprints.stream()
                .map(f -> RunningRequest.newBuilder().setFingerprint(f).build())
                .toList();
    }

    @BeforeClass
    public void quietLogs() {
        LOGGER.setLevel(Level.OFF);
    }

    @AfterClass
    public void restoreLogs() {
        LOGGER.setLevel(null);
    }

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, SEEDS).mapToObj(i -> new Object[] {(long) i}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void twoCrashesAreTheBoundWhicheverEntriesTheRepeatsComeThrough(long seed) {
        Fleet fleet = new Fleet(seed, 10);
        for (int i = 0; i < REPEATS; i++) {
            List<String> neighbours = List.of("good" + i, "good" + i + "b");
            if (fleet.send(BAD, neighbours)) {
                neighbours.forEach(n -> fleet.send(n, List.of()));
            }
            fleet.deliverSome();
        }
        assertTrue(fleet.badCrashes == 2, "crashes: " + fleet.badCrashes);
        fleet.drain();
        long now = fleet.time.wallMillis();
        for (int e = 0; e < ENTRIES; e++) {
            CrashSuspects entry = fleet.suspects.get("entry" + e);
            assertEquals(entry.standing(BAD, now), Standing.QUARANTINED);
            IntStream.range(0, REPEATS).forEach(i -> {
                assertTrue(entry.standing("good" + i, now) != Standing.QUARANTINED);
                assertTrue(entry.standing("good" + i + "b", now) != Standing.QUARANTINED);
            });
        }
    }

    @Test
    public void aNeighbourThatRanWellAfterwardsIsNoLongerSuspected() {
        Fleet fleet = new Fleet(1, 0);
        assertTrue(fleet.send(BAD, List.of("good")));
        fleet.send("good", List.of());
        fleet.drain();
        fleet.suspects.values().forEach(s -> assertEquals(s.standing("good", fleet.time.wallMillis()), Standing.CLEAR));
        assertTrue(fleet.send(BAD, List.of("good")));
        fleet.drain();
        fleet.suspects.forEach((address, s) -> assertTrue(
                s.standing("good", fleet.time.wallMillis()) != Standing.QUARANTINED, "quarantined at " + address));
    }

    @Test
    public void aCrashIsToldAgainUntilItArrives() {
        Fleet fleet = new Fleet(1, 100);
        assertTrue(fleet.send(BAD, List.of()));
        fleet.lossPercent = 0;
        fleet.drain();
        for (int e = 0; e < ENTRIES; e++) {
            assertEquals(fleet.suspects.get("entry" + e).standing(BAD, fleet.time.wallMillis()), Standing.SUSPECT);
        }
    }
}
