package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.choose.UpstreamAvailability;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests upstreams that are leaving, and a service whose upstreams have all requested a pause. */
public class UpstreamAvailabilityTest {
    private final Upstream one = upstream("a", 1);
    private final Upstream two = upstream("b", 1);
    private ManualTimeSource time;
    private double spread;
    private UpstreamAvailability availability;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        spread = 0;
        availability = new UpstreamAvailability(time, () -> spread);
    }

    private static Upstream upstream(String id, long born) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        return new Upstream(id, "s", address, "here", born, false, 8, Map.of());
    }

    @Test
    public void oneThatLeavesTakesNothingUntilItsNextStart() {
        availability.onLeaving(one);
        availability.onPauseRequested(one, Duration.ofSeconds(1));
        time.advanceMillis(1_000_000);
        assertFalse(availability.isAvailable(one));
        assertTrue(availability.isAvailable(upstream("a", 2)));
        assertTrue(availability.isAvailable(upstream("c", 1)));
        assertEquals(availability.filterAvailable(List.of(one, two)), List.of(two));
    }

    @Test
    public void aPauseLastsAsLongAsWasSaidAndIsNotShortenedByALaterAnswer() {
        availability.onPauseRequested(one, Duration.ofMillis(2_500));
        availability.onPauseRequested(one, Duration.ofMillis(100));
        time.advanceMillis(2_499);
        assertFalse(availability.isAvailable(one));
        time.advanceMillis(1);
        assertTrue(availability.isAvailable(one));
    }

    @Test
    public void figuresThatMakeNoSenseAreBounded() {
        availability.onPauseRequested(one, Duration.ofSeconds(-5));
        assertTrue(availability.isAvailable(one));
        availability.onPauseRequested(one, Duration.ofSeconds(Long.MAX_VALUE / 2));
        assertFalse(availability.isAvailable(one));
        time.advanceMillis(Duration.ofMinutes(10).toMillis());
        assertTrue(availability.isAvailable(one));
    }

    @Test
    public void callersComeBackForTheFirstOneAndNotAllAtOnce() {
        assertEquals(availability.retryAfter(List.of(one, two)), Optional.empty());
        availability.onPauseRequested(one, Duration.ofSeconds(4));
        availability.onPauseRequested(two, Duration.ofSeconds(2));
        assertEquals(availability.retryAfter(List.of(one, two)), Optional.of(Duration.ofSeconds(2)));
        spread = 1;
        assertEquals(availability.retryAfter(List.of(one, two)), Optional.of(Duration.ofSeconds(3)));
        availability.onLeaving(two);
        spread = 0;
        assertEquals(availability.retryAfter(List.of(one, two)), Optional.of(Duration.ofSeconds(4)));
    }
}
