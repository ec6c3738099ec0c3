package io.parsleycleat.standin.measure.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.process.limits.EscrowSettings;
import io.parsleycleat.core.process.limits.LoadPermits;
import io.parsleycleat.core.process.membership.EpochSettings;
import io.parsleycleat.core.process.slots.LoadPriority;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class LoadPermitsTest {
    private static final Duration MEASURED = Duration.ofSeconds(60);
    private static final Duration LOAD_TIME = Duration.ofMillis(250);

    /** Sides that ask for loads at random. */
    private static final class Sides {
        private final SimulatedFleet fleet = new SimulatedFleet(3, 2, EscrowSettings.DEFAULT, EpochSettings.DEFAULT);
        private final Random random = new Random(3);
        private final Map<LoadPriority, Integer> granted = new EnumMap<>(LoadPriority.class);
        private final List<? extends LoadPermits> permits;
        private int inTransit;
        private int mostInTransit;

        Sides() {
            IntStream.range(0, 4).forEach(fleet::start);
            permits = IntStream.range(0, 20).mapToObj(fleet::startSide).toList();
            fleet.time().run(Duration.ofSeconds(30));
        }

        void ask(LoadPriority priority, Duration interval, Duration loadTime) {
            fleet.time().every(interval, () -> permits.get(random.nextInt(permits.size()))
                    .acquire(priority)
                    .thenAccept(answer -> answer.forEach(permit -> {
                        granted.merge(priority, 1, Integer::sum);
                        inTransit++;
                        mostInTransit = Math.max(mostInTransit, inTransit);
                        fleet.time().after(loadTime, () -> {
                            inTransit--;
                            permit.release();
                        });
                    })));
        }

        int granted(LoadPriority priority) {
            return granted.getOrDefault(priority, 0);
        }
    }

    @Test
    public void theFleetKeepsToTheRateAndUsesIt() {
        Sides sides = new Sides();
        sides.ask(LoadPriority.PAYING, Duration.ofMillis(40), LOAD_TIME);
        sides.fleet.time().run(MEASURED);
        int granted = sides.granted(LoadPriority.PAYING);
        double most = 8 + 3.0 * MEASURED.toSeconds();
        assertTrue(granted <= most, granted + " loads");
        assertTrue(granted >= 0.9 * most, granted + " loads");
    }

    @Test
    public void transitsStayBounded() {
        Sides sides = new Sides();
        sides.ask(LoadPriority.PAYING, Duration.ofMillis(40), Duration.ofSeconds(5));
        sides.fleet.time().run(MEASURED);
        assertTrue(sides.mostInTransit <= 10, sides.mostInTransit + " in transit");
        assertTrue(sides.mostInTransit >= 7, sides.mostInTransit + " in transit");
    }

    @Test
    public void prefetchesGetOnlyWhatPayingLoadsLeave() {
        Sides sides = new Sides();
        sides.ask(LoadPriority.PAYING, Duration.ofMillis(200), LOAD_TIME);
        sides.ask(LoadPriority.FREE, Duration.ofMillis(50), LOAD_TIME);
        sides.ask(LoadPriority.PREFETCH, Duration.ofMillis(50), LOAD_TIME);
        sides.fleet.time().run(Duration.ofSeconds(10));
        sides.granted.clear();
        sides.fleet.time().run(MEASURED);
        assertTrue(sides.granted(LoadPriority.PAYING) >= 0.9 * 3 * MEASURED.toSeconds(), sides.granted.toString());
        assertEquals(sides.granted(LoadPriority.FREE) + sides.granted(LoadPriority.PREFETCH), 0);
    }

    @Test
    public void prefetchesGetTheRateWhileNobodyPays() {
        Sides sides = new Sides();
        sides.ask(LoadPriority.PREFETCH, Duration.ofMillis(50), LOAD_TIME);
        sides.fleet.time().run(MEASURED);
        assertTrue(sides.granted(LoadPriority.PREFETCH) >= 0.8 * 3 * MEASURED.toSeconds(), sides.granted.toString());
    }
}
