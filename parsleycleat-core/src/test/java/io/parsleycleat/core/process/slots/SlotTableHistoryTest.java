package io.parsleycleat.core.process.slots;

import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.request.routing.MovableTime;
import java.util.concurrent.atomic.AtomicReference;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Param;
import org.jetbrains.kotlinx.lincheck.paramgen.IntGen;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.testng.annotations.Test;

/** Checks that an adapter stays while it is pinned, whoever else pins others at the same time. */
@Param(name = "adapter", gen = IntGen.class, conf = "1:4")
public class SlotTableHistoryTest {
    private static final int SLOTS = 2;

    private final AtomicReference<FakeEngine> engine = new AtomicReference<>(new FakeEngine());
    private final AtomicReference<EngineSlotTable> table = new AtomicReference<>();

    public SlotTableHistoryTest() {
        engine.get().atOnce = true;
        engine.get().slots = SLOTS;
        table.set(EngineSlotTable.builder(engine.get(), new MovableTime()).build());
        table.get().observe(engine.get().report());
    }

    /** Pins an adapter for a moment and returns whether the engine held it throughout, among no more than its slots. */
    @Operation
    public boolean use(@Param(name = "adapter") int number) {
        AdapterVersion adapter = new AdapterVersion("a" + number, "1");
        Pin pin = table.get().pin(adapter, LoadPriority.PAYING).join();
        boolean held = isHeld(adapter) && pin.isCurrent() && isHeld(adapter);
        pin.release();
        return held;
    }

    private boolean isHeld(AdapterVersion adapter) {
        FakeEngine e = engine.get();
        synchronized (e) {
            return e.loaded.contains(adapter) && e.loaded.size() <= SLOTS;
        }
    }

    @Test
    public void pinnedAdapterStaysInEveryHistory() {
        LinChecker.check(
                SlotTableHistoryTest.class,
                new StressOptions()
                        .iterations(15)
                        .invocationsPerIteration(300)
                        .threads(3)
                        .actorsPerThread(3)
                        .actorsBefore(0)
                        .actorsAfter(1));
    }
}
