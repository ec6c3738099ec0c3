package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.choose.EngineChooser;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.request.choose.UpstreamLoads;
import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.gateway.version.upstreams.UpstreamDirectory;
import io.parsleycleat.wire.gate.GateStatus;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the order of engines by load, errors and the state of the adapter. */
public class EngineChooserTest {
    private static final AdapterId ADAPTER = new AdapterId("m0", "tail-17");
    private static final int ENGINES = 5;

    private ManualTimeSource time;
    private EngineView view;
    private UpstreamLoads loads;
    private EngineChooser chooser;
    private List<Upstream> engines;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        view = new EngineView(time);
        loads = new UpstreamLoads(time, new UpstreamDirectory());
        chooser = new EngineChooser(view, loads);
        engines =
                IntStream.range(0, ENGINES).mapToObj(EngineChooserTest::engine).toList();
        engines.forEach(e -> tell(e, 1, 0, List.of()));
    }

    private static Upstream engine(int i) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 100 + i);
        return new Upstream("e" + i, "lm", address, "bole", 1, false, 64, Map.of());
    }

    private void tell(Upstream engine, long born, long backlog, List<String> resident) {
        view.onStatus(GateStatus.newBuilder()
                .setEngineId(engine.id())
                .setBorn(born)
                .setModelResident(true)
                .setTotalTokens(100_000)
                .setBacklogTokens(backlog)
                .setTokensPerSecond(15_000)
                .addAllResident(resident)
                .build());
    }

    private List<Upstream> order() {
        return chooser.orderByExpectedTime(engines, ADAPTER, Set.of()).stream()
                .map(EngineChooser.Choice::engine)
                .toList();
    }

    private Upstream best() {
        return order().get(0);
    }

    @Test
    public void aSideIsSilentOnlyWhenAStatusThatItAnnouncedFailsToCome() {
        Upstream engine = engines.get(0);
        GateStatus status =
                GateStatus.newBuilder().setEngineId(engine.id()).setBorn(1).build();
        view.onStatus(status.toBuilder().setNextMillis(500).build());
        time.advanceMillis(1_490);
        assertFalse(view.isSideUnresponsive(engine));
        time.advanceMillis(20);
        assertTrue(view.isSideUnresponsive(engine));
        view.onStatus(status);
        time.advanceMillis(10_000);
        assertFalse(view.isSideUnresponsive(engine), "none was announced");
    }

    /** Guards against entries that load an adapter which no engine holds on different engines. */
    @Test
    public void aColdAdapterHasTheSameHomeForAllEntries() {
        EngineChooser other = new EngineChooser(new EngineView(time), loads);
        assertEquals(
                other.orderByExpectedTime(engines, ADAPTER, Set.of()).get(0).engine(), best());
    }

    /** Guards against slow loads of rarely used adapters that were evicted by popular ones and are requested again. */
    @Test
    public void anEngineThatHeldAnAdapterBeforeGoesBeforeItsHome() {
        Upstream last = order().get(ENGINES - 1);
        tell(last, 1, 0, List.of(ADAPTER.toString()));
        tell(last, 1, 0, List.of("m0/hot"));
        assertEquals(best(), last);
        assertEquals(view.adapterState(last, ADAPTER), EngineView.AdapterState.PREVIOUSLY_RESIDENT);
    }

    /** Guards against counting adapters as held before that a restarted engine no longer holds. */
    @Test
    public void aStartedEngineHeldNothingBefore() {
        Upstream last = order().get(ENGINES - 1);
        tell(last, 1, 0, List.of(ADAPTER.toString()));
        tell(last, 2, 0, List.of());
        Upstream startedAnew = last.withStart(last.id(), 2);
        assertEquals(view.adapterState(startedAnew, ADAPTER), EngineView.AdapterState.ABSENT);
    }

    /** Guards against counting more adapters as held before than an engine keeps. */
    @Test
    public void whatWasHeldLongAgoIsForgotten() {
        Upstream home = best();
        tell(home, 1, 0, List.of(ADAPTER.toString()));
        IntStream.range(0, 50)
                .forEach(i -> tell(home, 1, 0, List.of("m0/x" + 3 * i, "m0/x" + (3 * i + 1), "m0/x" + (3 * i + 2))));
        assertEquals(view.adapterState(home, ADAPTER), EngineView.AdapterState.ABSENT);
        assertEquals(view.adapterState(home, new AdapterId("m0", "x149")), EngineView.AdapterState.RESIDENT);
        assertEquals(view.adapterState(home, new AdapterId("m0", "x100")), EngineView.AdapterState.PREVIOUSLY_RESIDENT);
    }

    /** Guards against another load of an adapter that costs more than waiting for the short backlog of its engine. */
    @Test
    public void aShortQueueIsNoReasonForAnotherLoad() {
        Upstream home = best();
        tell(home, 1, 4_000, List.of(ADAPTER.toString()));
        assertEquals(best(), home);
    }

    /** Guards against an overloaded engine when one adapter gets most of the requests. */
    @Test
    public void aHotAdapterSpreadsWhenItsHomeIsBusy() {
        Upstream home = best();
        tell(home, 1, 40_000, List.of(ADAPTER.toString()));
        assertNotEquals(best(), home);
    }

    /** Guards against sending all requests of one moment to one engine, before its side could report any of them. */
    @Test
    public void whatWasJustAskedForCountsAtOnce() {
        Upstream home = best();
        view.onStartRequested(home, 40_000);
        assertNotEquals(best(), home);
    }

    /** Guards against continued use of an engine that returns errors although its status reports no problem. */
    @Test
    public void anErringEngineIsLeftAndTriedAgainLater() {
        Upstream home = best();
        IntStream.range(0, 10).forEach(i -> loads.of(home).onErrorResponse());
        assertTrue(loads.of(home).hasHighErrorRate());
        assertNotEquals(best(), home);
        time.advanceMillis(10_000);
        engines.forEach(e -> tell(e, 1, 0, List.of()));
        assertFalse(loads.of(home).hasHighErrorRate());
        assertEquals(best(), home);
    }

    /** Guards against leaving no engine when all engines of a service fail at once. */
    @Test
    public void allErringEnginesStayInUse() {
        engines.forEach(e -> IntStream.range(0, 10).forEach(i -> loads.of(e).onErrorResponse()));
        assertEquals(order().size(), ENGINES);
    }
}
