package io.parsleycleat.core.process.slots;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.connection.upstream.EngineState;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.RequestException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.routing.MovableTime;
import io.parsleycleat.wire.routing.SlotState;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EngineSlotTableTest {
    private static final AdapterVersion A = new AdapterVersion("a", "1");
    private static final AdapterVersion A2 = new AdapterVersion("a", "2");
    private static final AdapterVersion B = new AdapterVersion("b", "1");
    private static final AdapterVersion C = new AdapterVersion("c", "1");

    private MovableTime time;
    private FakeEngine engine;
    private EngineSlotTable table;

    @BeforeMethod
    public void createTable() {
        time = new MovableTime();
        engine = new FakeEngine();
        table = EngineSlotTable.builder(engine, time).build();
        table.observe(engine.report());
    }

    private CompletableFuture<Pin> pin(AdapterVersion adapter) {
        return table.pin(adapter, LoadPriority.PAYING);
    }

    private Pin loaded(AdapterVersion adapter) {
        engine.atOnce = true;
        Pin pin = pin(adapter).join();
        engine.atOnce = false;
        return pin;
    }

    private List<CompletableFuture<Either<Refusal, Runnable>>> gateByHand() {
        List<CompletableFuture<Either<Refusal, Runnable>>> permits = new ArrayList<>();
        table = EngineSlotTable.builder(engine, time)
                .withGate(priority -> {
                    permits.add(new CompletableFuture<>());
                    return permits.get(permits.size() - 1);
                })
                .build();
        engine.slots = 8;
        table.observe(engine.report());
        return permits;
    }

    private static ResultCode codeOf(CompletableFuture<Pin> pin) {
        return refusalOf(pin).refusal().code();
    }

    private static RequestException refusalOf(CompletableFuture<Pin> pin) {
        assertTrue(pin.isDone(), "the pin is not decided");
        return (RequestException)
                expectThrows(CompletionException.class, pin::join).getCause();
    }

    @Test
    public void simultaneousMissesShareOneLoad() {
        CompletableFuture<Pin> first = pin(A);
        CompletableFuture<Pin> second = pin(A);
        assertFalse(first.isDone());
        engine.completeNext();
        assertEquals(engine.orders, List.of("load a@1"));
        assertEquals(first.join().generation(), second.join().generation());
    }

    @Test
    public void pinnedAdapterIsNotEvicted() {
        Pin a = loaded(A);
        Pin b = loaded(B);
        CompletableFuture<Pin> c = pin(C);
        assertEquals(engine.orders, List.of("load a@1", "load b@1"));
        b.release();
        b.release();
        assertEquals(engine.orders.get(2), "unload b@1");
        engine.completeNext();
        engine.completeNext();
        assertTrue(c.join().isCurrent());
        assertTrue(a.isCurrent());
        assertFalse(b.isCurrent());
    }

    @Test
    public void adapterBeingEvictedIsLoadedAnewOnly() {
        loaded(A);
        loaded(B).release();
        CompletableFuture<Pin> c = pin(C);
        CompletableFuture<Pin> b = pin(B);
        assertFalse(b.isDone(), "the slot is being evicted");
        engine.completeNext();
        engine.completeNext();
        c.join().release();
        engine.completeNext();
        engine.completeNext();
        assertTrue(b.join().isCurrent());
        assertEquals(engine.loaded, Set.of(A, B));
    }

    @Test
    public void popularAdapterStays() {
        loaded(A).release();
        loaded(A).release();
        time.advance(Duration.ofSeconds(1));
        loaded(B).release();
        loaded(C);
        assertEquals(engine.loaded, Set.of(A, C));
    }

    @Test
    public void popularityFades() {
        loaded(A).release();
        loaded(A).release();
        time.advance(Duration.ofMinutes(10));
        loaded(B).release();
        loaded(C);
        assertEquals(engine.loaded, Set.of(B, C));
    }

    @Test
    public void retiredVersionIsEvictedFirst() {
        table = EngineSlotTable.builder(engine, time).withRetired(A::equals).build();
        table.observe(engine.report());
        Pin old = loaded(A);
        loaded(A).release();
        loaded(B).release();
        Pin current = loaded(A2);
        assertTrue(old.isCurrent(), "the old version is in use");
        assertEquals(engine.loaded, Set.of(A, A2));
        current.release();
        old.release();
        loaded(C);
        assertEquals(engine.loaded, Set.of(A2, C));
    }

    @Test
    public void failedLoadBacksOffLonger() {
        CompletableFuture<Pin> first = pin(A);
        engine.failNext(ResultCode.LOAD_FAILED);
        assertEquals(codeOf(first), ResultCode.LOAD_FAILED);
        Duration backoff = refusalOf(pin(A)).refusal().retry().orElseThrow();
        assertEquals(engine.orders.size(), 1);
        time.advance(backoff);
        pin(A);
        engine.failNext(ResultCode.LOAD_FAILED);
        Duration longer = refusalOf(pin(A)).refusal().retry().orElseThrow();
        assertEquals(longer, backoff.multipliedBy(2));
        assertTrue(table.report(A).expectedLoadMillis() >= longer.toMillis(), "probes tell of the backoff");
    }

    /** Guards against a slot that loads for ever, and requests that wait for it, since the order threw. */
    @Test
    public void loadWhoseOrderThrowsFails() {
        engine.throwing = true;
        CompletableFuture<Pin> pin = pin(A);
        assertTrue(pin.isCompletedExceptionally(), "whoever waits for the load is told");
        assertEquals(codeOf(pin), ResultCode.LOAD_FAILED);
        engine.throwing = false;
        time.advance(refusalOf(pin(A)).refusal().retry().orElseThrow());
        loaded(A);
    }

    /** Guards against a load that is never begun, and requests that wait for it, since its permit's gate threw. */
    @Test
    public void loadWhoseGateThrowsIsRefused() {
        table = EngineSlotTable.builder(engine, time)
                .withGate(priority -> {
                    throw new IllegalStateException("a fault of the test");
                })
                .build();
        table.observe(engine.report());
        CompletableFuture<Pin> pin = pin(A);
        assertTrue(pin.isCompletedExceptionally(), "whoever waits for the load is told");
        assertEquals(codeOf(pin), ResultCode.LIMIT_UNAVAILABLE);
    }

    @Test
    public void restartedEngineIsEmpty() {
        Pin before = loaded(A);
        CompletableFuture<Pin> loading = pin(B);
        EngineState old = engine.report();
        engine.incarnation = "2";
        engine.loaded.clear();
        table.observe(engine.report());
        assertFalse(before.isCurrent());
        assertEquals(engine.orders, List.of("load a@1", "load b@1", "load b@1"));
        engine.completeNext();
        assertFalse(loading.isDone(), "the load belongs to the former incarnation");
        table.observe(old);
        engine.completeNext();
        assertTrue(loading.join().isCurrent());
        before.release();
        assertNotEquals(loaded(A).generation(), before.generation());
        assertEquals(table.report(B).state(), SlotState.SLOT_STATE_LOADED);
    }

    @Test
    public void whatTheEngineHoldsOnItsOwnMakesRoom() {
        engine.loaded.addAll(List.of(B, C));
        table = EngineSlotTable.builder(engine, time).build();
        table.observe(engine.report());
        assertEquals(table.report(B).state(), SlotState.SLOT_STATE_ABSENT);
        loaded(B);
        assertEquals(engine.orders, List.of("load b@1"));
        loaded(A);
        assertEquals(engine.orders, List.of("load b@1", "unload c@1", "load a@1"));
    }

    @Test
    public void lapsedLeaseSendsNoOrder() {
        AtomicBoolean held = new AtomicBoolean(true);
        List<CompletableFuture<Either<Refusal, Runnable>>> permits = new ArrayList<>();
        table = EngineSlotTable.builder(engine, time)
                .withLease(() -> 7, held::get)
                .withGate(priority -> {
                    permits.add(new CompletableFuture<>());
                    return permits.get(permits.size() - 1);
                })
                .build();
        table.observe(engine.report());
        CompletableFuture<Pin> pin = pin(A);
        held.set(false);
        permits.get(0).complete(Either.right(() -> {}));
        assertEquals(engine.orders, List.of());
        assertEquals(codeOf(pin), ResultCode.LEASE_LAPSED);
        assertEquals(codeOf(pin(A)), ResultCode.LEASE_LAPSED);
    }

    @Test
    public void fencedSideGivesUpWhatItHolds() {
        engine.checksFencing = true;
        Pin before = loaded(A);
        engine.highestFencing = 9;
        CompletableFuture<Pin> pin = pin(B);
        assertEquals(codeOf(pin), ResultCode.LEASE_LAPSED);
        assertFalse(before.isCurrent());
    }

    @Test
    public void freeTierKeepsOnlyItsShareOfSlots() {
        engine.atOnce = true;
        table.pin(A, LoadPriority.FREE).join();
        CompletableFuture<Pin> second = table.pin(B, LoadPriority.FREE);
        assertFalse(second.isDone());
        assertTrue(pin(C).isDone());
    }

    @Test
    public void adapterThatWaitsForAPermitIsReportedAsLoading() {
        gateByHand();
        pin(A);
        assertEquals(table.report(A).state(), SlotState.SLOT_STATE_LOADING, "others share the load");
        assertEquals(table.report(B).state(), SlotState.SLOT_STATE_ABSENT);
    }

    @Test
    public void payingLoadsGoFirst() {
        List<CompletableFuture<Either<Refusal, Runnable>>> permits = gateByHand();
        table.pin(A, LoadPriority.FREE);
        pin(B);
        permits.get(0).complete(Either.right(() -> {}));
        assertEquals(engine.orders, List.of("load b@1"));
    }

    @Test
    public void loadsAreSharedOutBetweenAccounts() {
        List<CompletableFuture<Either<Refusal, Runnable>>> permits = gateByHand();
        List.of("x1", "x2", "x3", "x4").forEach(a -> table.pin(request(a, "x", 2)));
        List.of("y1", "y2").forEach(a -> table.pin(request(a, "y", 1)));
        for (int i = 0; i < 6; i++) {
            permits.get(i).complete(Either.right(() -> {}));
            engine.completeNext();
        }
        assertEquals(
                engine.orders, List.of("load x1@1", "load y1@1", "load x2@1", "load x3@1", "load y2@1", "load x4@1"));
    }

    @Test
    public void floodOfOneAccountDoesNotLengthenTheLoadsOfAnother() {
        gateByHand();
        time.advance(Duration.ofSeconds(1));
        List.of("x1", "x2", "x3", "x4", "x5", "x6").forEach(a -> table.pin(request(a, "x", 1)));
        long flooding = table.report(B, LoadPriority.PAYING, "x").expectedLoadMillis();
        long other = table.report(B, LoadPriority.PAYING, "y").expectedLoadMillis();
        long free = table.report(B, LoadPriority.FREE, "f").expectedLoadMillis();
        assertEquals(flooding, 7 * SlotTableSettings.DEFAULT.initialLoadTime().toMillis());
        assertEquals(other, 2 * SlotTableSettings.DEFAULT.initialLoadTime().toMillis());
        assertEquals(free, flooding);
    }

    private static PinRequest request(String adapterId, String accountId, int weight) {
        return new PinRequest(
                new AdapterVersion(adapterId, "1"), LoadPriority.PAYING, accountId, weight, PinRequest.NO_DEADLINE);
    }

    @Test
    public void pinPastItsDeadlineIsRefused() {
        loaded(A);
        loaded(B);
        long deadline = time.monotonicNanos() + Duration.ofSeconds(1).toNanos();
        CompletableFuture<Pin> late = table.pin(new PinRequest(C, LoadPriority.PAYING, "x", 1, deadline));
        table.expire();
        assertFalse(late.isDone());
        time.advance(Duration.ofSeconds(1));
        table.expire();
        assertEquals(codeOf(late), ResultCode.DEADLINE_UNREACHABLE);
        assertTrue(refusalOf(late).refusal().retry().isPresent());
    }

    @Test
    public void cancelledPinKeepsNothing() {
        CompletableFuture<Pin> gone = pin(A);
        gone.cancel(false);
        engine.completeNext();
        loaded(B);
        CompletableFuture<Pin> c = pin(C);
        assertEquals(engine.orders.get(2), "unload a@1");
        engine.completeNext();
        engine.completeNext();
        assertSame(c.isDone(), true);
    }
}
