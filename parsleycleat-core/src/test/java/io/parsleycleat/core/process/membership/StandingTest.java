package io.parsleycleat.core.process.membership;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class StandingTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private static Standing standing() {
        Standing standing = new Standing(Duration.ofSeconds(5), Duration.ofSeconds(60), 0);
        standing.confirmByLog(0, 0);
        return standing;
    }

    @Test
    public void beginsOnlyAfterTheLogWasRead() {
        Standing standing = new Standing(Duration.ofSeconds(5), Duration.ofSeconds(60), 0);
        standing.confirmByPlatform(1, 1);
        assertFalse(standing.isValid(2));
        standing.confirmByLog(2, 3);
        assertTrue(standing.isValid(4));
    }

    @Test
    public void lastsWhileThePlatformConfirms() {
        Standing standing = standing();
        for (long second = 1; second < 100; second += 4) {
            standing.confirmByPlatform(second * SECOND, second * SECOND);
            assertTrue(standing.isValid((second + 4) * SECOND));
        }
    }

    @Test
    public void afterAGapOnlyALaterReadOfTheLogHelps() {
        Standing standing = standing();
        standing.confirmByPlatform(40 * SECOND, 40 * SECOND);
        assertFalse(standing.isValid(40 * SECOND));
        standing.confirmByLog(39 * SECOND, 41 * SECOND);
        assertFalse(standing.isValid(41 * SECOND));
        standing.confirmByLog(41 * SECOND, 42 * SECOND);
        assertTrue(standing.isValid(42 * SECOND));
    }

    @Test
    public void neighboursHelpForALimitedTime() {
        Standing standing = standing();
        for (long second = 1; second <= 60; second++) {
            standing.confirmByNeighbours(second * SECOND, second * SECOND);
        }
        assertTrue(standing.isValid(61 * SECOND));
        for (long second = 61; second <= 70; second++) {
            standing.confirmByNeighbours(second * SECOND, second * SECOND);
        }
        assertFalse(standing.isValid(70 * SECOND));
    }
}
