package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.limits.RetryShare;
import java.time.Duration;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against retry storms: an entry repeats no more requests than its share of the retry budget allows. */
public class RetryShareTest {
    private ManualTimeSource time;
    private RetryShare share;

    private long repeats(int tries) {
        return IntStream.range(0, tries).filter(i -> share.tryRetry("orders")).count();
    }

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        share = new RetryShare(new RetryShare.Bounds(0.2, 40, Duration.ofSeconds(10)), time, () -> 4);
    }

    @Test
    public void withoutRequestsOnlyHalfOfTheEqualPartIsThere() {
        assertEquals(repeats(100), 5);
    }

    @Test
    public void requestsAddTheirRatio() {
        IntStream.range(0, 100).forEach(i -> share.onRequest("orders"));
        assertEquals(repeats(100), 25);
    }

    @Test
    public void theBudgetComesBackAfterTheWindow() {
        repeats(100);
        time.advanceMillis(9_000);
        assertEquals(repeats(100), 0);
        time.advanceMillis(1_100);
        assertEquals(repeats(100), 5);
    }

    @Test
    public void servicesDoNotShare() {
        IntStream.range(0, 100).forEach(i -> share.onRequest("models"));
        assertEquals(repeats(100), 5);
    }
}
