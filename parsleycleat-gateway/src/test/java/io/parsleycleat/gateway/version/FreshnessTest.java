package io.parsleycleat.gateway.version;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.version.follow.Freshness;
import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FreshnessTest {
    private ManualTimeSource time;
    private Freshness freshness;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        freshness = new Freshness(time);
    }

    @Test
    public void unconfirmedStateIsOlderThanAnyBound() {
        assertFalse(new Freshness(time).isYoungerThan(Duration.ofDays(10_000)));
    }

    @Test
    public void ageCountsFromTheRequestNotFromTheAnswer() {
        Freshness.Moment sent = freshness.now();
        time.advanceMillis(3_000);
        freshness.confirm(sent);
        assertFalse(freshness.isYoungerThan(Duration.ofMillis(2_900)));
    }

    @Test
    public void suspensionOfTheVmCountsAlthoughTheMonotonicClockStopped() {
        freshness.confirm(freshness.now());
        time.shiftWallMillis(6_000);
        assertFalse(freshness.isYoungerThan(Duration.ofSeconds(5)));
    }

    @Test
    public void backwardJumpOfTheWallClockDoesNotReduceTheAge() {
        freshness.confirm(freshness.now());
        time.advanceMillis(6_000);
        time.shiftWallMillis(-6_000);
        assertFalse(freshness.isYoungerThan(Duration.ofSeconds(5)));
    }

    @Test
    public void answerAfterAClockJumpResetsTheAge() {
        time.shiftWallMillis(6_000);
        freshness.confirm(freshness.now());
        assertTrue(freshness.isYoungerThan(Duration.ofMillis(1)));
    }
}
