package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.choose.EngineChooser;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.request.choose.UpstreamLimits;
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
        UpstreamLimits limits = new UpstreamLimits(time, () -> 0);
        view = new EngineView(time, limits);
        loads = new UpstreamLoads(time, new UpstreamDirectory());
        chooser = new EngineChooser(view, loads, limits);
        engines =
                IntStream.range(0, ENGINES).mapToObj(EngineChooserTest::engine).toList();
        engines.forEach(e -> reportStatus(e, 1, 0, List.of()));
    }

    private static Upstream engine(int i) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 100 + i);
        return new Upstream("e" + i, "lm", address, "bole", 1, false, 64, Map.of());
    }

    private void reportStatus(Upstream engine, long born, long backlog, List<String> resident) {
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

    private List<Upstream> engineOrder() {
        return chooser.orderByExpectedTime(engines, ADAPTER, 1, Set.of()).stream()
                .map(EngineChooser.Choice::engine)
                .toList();
    }

    private Upstream firstChoice() {
        return engineOrder().get(0);
    }

    @Test
    public void sideIsUnresponsiveOnlyWhenAnAnnouncedStatusIsOverdue() {
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
        assertFalse(view.isSideUnresponsive(engine), "no further status was announced");
    }

    /** Guards against a side that starts anew never being asked again: it sends statuses only to entries that ask. */
    @Test
    public void sideWhoseStatusesStoppedIsAskedAgainAfterSomeTime() {
        Upstream engine = engines.get(0);
        view.onStatus(GateStatus.newBuilder()
                .setEngineId(engine.id())
                .setBorn(1)
                .setNextMillis(500)
                .build());
        time.advanceMillis(6_400);
        assertTrue(view.isSideUnresponsive(engine));
        time.advanceMillis(200);
        assertFalse(view.isSideUnresponsive(engine));
    }

    /** Guards against entries that load an adapter which no engine holds on different engines. */
    @Test
    public void allEntriesChooseTheSameEngineForAnAbsentAdapter() {
        UpstreamLimits limits = new UpstreamLimits(time, () -> 0);
        EngineChooser other = new EngineChooser(new EngineView(time, limits), loads, limits);
        assertEquals(
                other.orderByExpectedTime(engines, ADAPTER, 1, Set.of()).get(0).engine(), firstChoice());
    }

    /** Guards against slow loads of rarely used adapters that were evicted by popular ones and are requested again. */
    @Test
    public void engineThatHeldTheAdapterBeforePrecedesTheFirstRankedEngine() {
        Upstream last = engineOrder().get(ENGINES - 1);
        reportStatus(last, 1, 0, List.of(ADAPTER.toString()));
        reportStatus(last, 1, 0, List.of("m0/hot"));
        assertEquals(firstChoice(), last);
        assertEquals(view.adapterState(last, ADAPTER), EngineView.AdapterState.PREVIOUSLY_RESIDENT);
    }

    /** Guards against counting adapters as held before that a restarted engine no longer holds. */
    @Test
    public void restartedEngineHasNoPreviouslyResidentAdapters() {
        Upstream last = engineOrder().get(ENGINES - 1);
        reportStatus(last, 1, 0, List.of(ADAPTER.toString()));
        reportStatus(last, 2, 0, List.of());
        Upstream startedAnew = last.withStart(last.id(), 2);
        assertEquals(view.adapterState(startedAnew, ADAPTER), EngineView.AdapterState.ABSENT);
    }

    /** Guards against counting more adapters as held before than an engine keeps. */
    @Test
    public void adapterHeldLongAgoIsAbsent() {
        Upstream preferred = firstChoice();
        reportStatus(preferred, 1, 0, List.of(ADAPTER.toString()));
        IntStream.range(0, 50)
                .forEach(i -> reportStatus(
                        preferred, 1, 0, List.of("m0/x" + 3 * i, "m0/x" + (3 * i + 1), "m0/x" + (3 * i + 2))));
        assertEquals(view.adapterState(preferred, ADAPTER), EngineView.AdapterState.ABSENT);
        assertEquals(view.adapterState(preferred, new AdapterId("m0", "x149")), EngineView.AdapterState.RESIDENT);
        assertEquals(
                view.adapterState(preferred, new AdapterId("m0", "x100")), EngineView.AdapterState.PREVIOUSLY_RESIDENT);
    }

    /** Guards against another load of an adapter that costs more than waiting for the short backlog of its engine. */
    @Test
    public void shortBacklogCausesNoFurtherLoad() {
        Upstream preferred = firstChoice();
        reportStatus(preferred, 1, 4_000, List.of(ADAPTER.toString()));
        assertEquals(firstChoice(), preferred);
    }

    /** Guards against an overloaded engine when one adapter gets most of the requests. */
    @Test
    public void popularAdapterSpreadsWhenItsEngineIsBusy() {
        Upstream preferred = firstChoice();
        reportStatus(preferred, 1, 40_000, List.of(ADAPTER.toString()));
        assertNotEquals(firstChoice(), preferred);
    }

    /** Guards against sending all requests of one moment to one engine, before its side could report any of them. */
    @Test
    public void requestedStartCountsBeforeTheNextStatus() {
        Upstream preferred = firstChoice();
        view.onStartRequested(preferred, 40_000);
        assertNotEquals(firstChoice(), preferred);
    }

    /** Guards against continued use of an engine that returns errors although its status reports no problem. */
    @Test
    public void engineWithErrorsIsAvoidedAndTriedAgainLater() {
        Upstream preferred = firstChoice();
        IntStream.range(0, 10).forEach(i -> loads.of(preferred).onErrorResponse());
        assertTrue(loads.of(preferred).hasHighErrorRate());
        assertNotEquals(firstChoice(), preferred);
        time.advanceMillis(10_000);
        engines.forEach(e -> reportStatus(e, 1, 0, List.of()));
        assertFalse(loads.of(preferred).hasHighErrorRate());
        assertEquals(firstChoice(), preferred);
    }

    /** Guards against leaving no engine when all engines of a service fail at once. */
    @Test
    public void enginesStayInUseWhenAllReturnErrors() {
        engines.forEach(e -> IntStream.range(0, 10).forEach(i -> loads.of(e).onErrorResponse()));
        assertEquals(engineOrder().size(), ENGINES);
    }
}
