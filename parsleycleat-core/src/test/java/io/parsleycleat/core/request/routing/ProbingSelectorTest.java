package io.parsleycleat.core.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.peer.Frame;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ProbingSelectorTest {
    private static final RoutingSettings THREE_PROBES =
            RoutingSettings.DEFAULT.withProbes(3, 5).withLoadWeight(2);

    private FakeFleet fleet;
    private ProbingSelector selector;
    /** The upstreams in the order of the adapter. */
    private List<String> order;

    @BeforeMethod
    public void createFleet() {
        fleet = new FakeFleet();
        IntStream.range(0, 8).forEach(i -> fleet.addEngine("e" + i, "r"));
        selector = selector(THREE_PROBES);
        order = RendezvousHash.order("a", List.copyOf(fleet.answers.keySet()), id -> id);
    }

    private ProbingSelector selector(RoutingSettings settings) {
        return ProbingSelector.builder(fleet, fleet.membership, fleet, fleet.time)
                .withSettings(settings)
                .withRegion("r")
                .withSeed(7)
                .build();
    }

    private static SelectionRequest completion(String... excluded) {
        return new SelectionRequest(
                "x", false, new AdapterVersion("a", "1"), "base", "", 5, "", Set.of(excluded), Duration.ofSeconds(20));
    }

    private static SelectionRequest service(String affinityKey) {
        return new SelectionRequest("x", false, null, "", "orders", 0, affinityKey, Set.of(), Duration.ofSeconds(20));
    }

    private String chosen(SelectionRequest request) {
        return selector.select(request).join().get().upstreamId();
    }

    private ResultCode refused(SelectionRequest request) {
        Refusal refusal = selector.select(request).join().getLeft();
        assertTrue(refusal.retry().isPresent(), "a refusal says when to come back");
        return refusal.code();
    }

    @Test
    public void coldAdapterGoesToItsFirstCandidate() {
        assertEquals(chosen(completion()), order.get(0));
        assertEquals(fleet.probed, order.subList(0, 3));
    }

    @Test
    public void loadedUpstreamIsTakenWhileItsWaitIsLessThanALoad() {
        fleet.setLoaded(order.get(1), 200);
        assertEquals(chosen(completion()), order.get(1));
        fleet.setLoaded(order.get(1), 5000);
        assertEquals(chosen(completion()), order.get(0), "a load costs less than the wait");
    }

    @Test
    public void furtherCandidatesAreAskedWhenTheFirstAreBusy() {
        order.subList(0, 3).forEach(id -> fleet.setLoaded(id, 9000));
        assertEquals(chosen(completion()), order.get(3));
        assertEquals(fleet.probed, order.subList(0, 4));
    }

    @Test
    public void slowUpstreamsAreAskedOnceMoreBeforeARefusal() {
        List.copyOf(fleet.answers.keySet())
                .forEach(id -> fleet.special.put(id, () -> {
                    fleet.special.remove(id);
                    return FakeFleet.timeout();
                }));
        assertTrue(selector.select(completion()).join().isRight(), "somebody answers the second time");
    }

    @Test
    public void leavingUpstreamGetsNothing() {
        fleet.setLoaded(order.get(0), 0);
        fleet.change(order.get(0), a -> a.setLeaving(true));
        assertEquals(chosen(completion()), order.get(1));
        fleet.setLeaving(order.get(1));
        assertEquals(chosen(completion()), order.get(2));
        assertEquals(chosen(completion(order.get(2))), order.get(3));
    }

    @Test
    public void unreachableUpstreamsAreLeftOutUntilATrialIsAnswered() {
        String dead = order.get(0);
        fleet.special.put(dead, FakeFleet::timeout);
        assertEquals(chosen(completion()), order.get(1));
        fleet.probed.clear();
        chosen(completion());
        assertFalse(fleet.probed.contains(dead), "not asked again at once");
        fleet.time.advance(Duration.ofSeconds(1));
        CompletableFuture<Frame> hanging = new CompletableFuture<>();
        fleet.special.put(dead, () -> hanging);
        assertEquals(chosen(completion()), order.get(1), "no request waits for the trial");
        hanging.complete(FakeFleet.frame(fleet.answers.get(dead)));
        fleet.special.clear();
        assertEquals(chosen(completion()), dead);
    }

    @Test
    public void answersOfAnotherOrAnEarlierSideAreDropped() {
        fleet.special.put(
                order.get(0),
                () -> CompletableFuture.completedFuture(FakeFleet.frame(fleet.answers.get(order.get(5)))));
        assertEquals(chosen(completion()), order.get(1));
        fleet.change(order.get(1), a -> a.setSideIncarnation(9));
        assertEquals(chosen(completion()), order.get(1));
        fleet.change(order.get(1), a -> a.setSideIncarnation(8));
        assertEquals(chosen(completion()), order.get(2));
    }

    @Test
    public void simultaneousRequestsDoNotAllFollowOneAnswer() {
        fleet.setLoaded(order.get(0), 0);
        fleet.setLoaded(order.get(1), 0);
        List<CompletableFuture<Either<Refusal, Selection>>> selections = new ArrayList<>();
        List<CompletableFuture<Frame>> held = new ArrayList<>();
        fleet.answers
                .keySet()
                .forEach(id -> fleet.special.put(id, () -> {
                    CompletableFuture<Frame> answer = new CompletableFuture<>();
                    held.add(answer);
                    return answer;
                }));
        IntStream.range(0, 8).forEach(i -> selections.add(selector.select(completion())));
        List<String> asked = List.copyOf(fleet.probed);
        IntStream.range(0, held.size())
                .forEach(i -> held.get(i).complete(FakeFleet.frame(fleet.answers.get(asked.get(i)))));
        long first = selections.stream()
                .filter(s -> s.join().get().upstreamId().equals(order.get(0)))
                .count();
        assertEquals(first, 4, "each of the two gets half, as the answers allow four runs each");
    }

    @Test
    public void cachedPrefixDecidesAmongEquals() {
        order.subList(0, 3).forEach(id -> fleet.setLoaded(id, 0));
        fleet.change(order.get(2), a -> a.setPrefixCached(true));
        assertEquals(chosen(completion()), order.get(2));
    }

    @Test
    public void ownRegionComesFirst() {
        fleet = new FakeFleet();
        IntStream.range(0, 8).forEach(i -> fleet.addEngine("e" + i, i < 4 ? "far" : "r"));
        selector = selector(THREE_PROBES);
        IntStream.range(0, 30)
                .forEach(i -> chosen(new SelectionRequest(
                        "x",
                        false,
                        new AdapterVersion("a" + i, "1"),
                        "base",
                        "",
                        0,
                        "",
                        Set.of(),
                        Duration.ofSeconds(20))));
        assertEquals(new HashSet<>(fleet.probed), Set.of("e4", "e5", "e6", "e7"));
        List.of("e4", "e5", "e6", "e7").forEach(id -> fleet.special.put(id, FakeFleet::timeout));
        chosen(completion());
        assertTrue(List.of("e0", "e1", "e2", "e3").contains(chosen(completion())));
    }

    @Test
    public void requestThatNoUpstreamCanStartInTimeIsRefused() {
        fleet.answers.keySet().forEach(id -> fleet.setLoaded(id, 60_000));
        assertEquals(refused(completion()), ResultCode.DEADLINE_UNREACHABLE);
    }

    @Test
    public void nothingToChooseFromIsRefusedAtOnce() {
        fleet.answers.keySet().forEach(id -> fleet.special.put(id, FakeFleet::timeout));
        assertEquals(refused(completion()), ResultCode.NO_UPSTREAM);
        fleet = new FakeFleet();
        selector = selector(THREE_PROBES);
        assertEquals(refused(completion()), ResultCode.NO_UPSTREAM);
    }

    @Test
    public void serviceKeepsItsAffinity() {
        IntStream.range(0, 4).forEach(i -> fleet.addService("s" + i));
        Set<String> byKey = new HashSet<>();
        IntStream.range(0, 20).forEach(i -> {
            String home = chosen(service("key" + i));
            assertEquals(chosen(service("key" + i)), home);
            byKey.add(home);
        });
        assertEquals(byKey.size(), 4);
        String home = chosen(service("key"));
        fleet.special.put(home, FakeFleet::timeout);
        assertNotEquals(chosen(service("key")), home);
    }

    @Test
    public void serviceWithoutAffinityGoesWhereTheWaitIsLeast() {
        fleet.addService("s0");
        fleet.addService("s1");
        fleet.change("s0", a -> a.setExpectedWaitMillis(100));
        IntStream.range(0, 4).forEach(i -> assertEquals(chosen(service("")), "s1"));
    }

    @Test
    public void policiesForComparisonIgnoreOtherCosts() {
        fleet.setLoaded(order.get(0), 100);
        fleet.change(order.get(6), a -> a.setExpectedWaitMillis(0).setRunning(0));
        order.stream()
                .filter(id -> !id.equals(order.get(6)))
                .forEach(id -> fleet.change(id, a -> a.setExpectedWaitMillis(5000)));
        selector = selector(THREE_PROBES.withPolicy(RoutingPolicy.LEAST_LOADED));
        assertEquals(chosen(completion()), order.get(6));
        selector = selector(THREE_PROBES.withPolicy(RoutingPolicy.RENDEZVOUS));
        assertEquals(chosen(completion()), order.get(0));
        selector = selector(THREE_PROBES.withPolicy(RoutingPolicy.RANDOM));
        Set<String> seen = new HashSet<>();
        IntStream.range(0, 100).forEach(i -> seen.add(chosen(completion())));
        assertEquals(seen.size(), 8);
    }
}
