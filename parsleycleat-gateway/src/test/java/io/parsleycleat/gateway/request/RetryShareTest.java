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

    private long grantedRepeats(int attempts) {
        return IntStream.range(0, attempts)
                .filter(i -> share.tryRetry("orders"))
                .count();
    }

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        share = new RetryShare(new RetryShare.Bounds(0.2, 40, Duration.ofSeconds(10)), time, () -> 4);
    }

    @Test
    public void onlyHalfOfEqualShareIsAvailableWithoutRequests() {
        assertEquals(grantedRepeats(100), 5);
    }

    @Test
    public void requestsAddToShareByRatio() {
        IntStream.range(0, 100).forEach(i -> share.onRequest("orders"));
        assertEquals(grantedRepeats(100), 25);
    }

    @Test
    public void budgetIsRestoredAfterWindow() {
        grantedRepeats(100);
        time.advanceMillis(9_000);
        assertEquals(grantedRepeats(100), 0);
        time.advanceMillis(1_100);
        assertEquals(grantedRepeats(100), 5);
    }

    @Test
    public void servicesHaveSeparateBudgets() {
        IntStream.range(0, 100).forEach(i -> share.onRequest("models"));
        assertEquals(grantedRepeats(100), 5);
    }
}
