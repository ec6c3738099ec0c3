package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.process.members.EntryCount;
import io.parsleycleat.gateway.request.limits.RetryShare;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against retry storms: an entry repeats no more requests than its share of the retry budget allows. */
public class RetryShareTest {
    private ManualTimeSource time;
    private RetryShare share;
    private int knownEntries;

    private long sentRepeats(int attempts) {
        return IntStream.range(0, attempts)
                .mapToObj(i -> share.tryReserve("orders"))
                .flatMap(Optional::stream)
                .peek(RetryShare.Repeat::onSent)
                .count();
    }

    private void receiveRequests(int count) {
        IntStream.range(0, count).forEach(i -> share.onRequest("orders"));
    }

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        knownEntries = 4;
        share = new RetryShare(
                new RetryShare.Bounds(0.2, 40, Duration.ofSeconds(10)), time, new EntryCount(() -> knownEntries, time));
    }

    /** Guards against a share that a restart gives again. */
    @Test
    public void processBeginsWithoutRepeats() {
        assertEquals(sentRepeats(100), 0);
    }

    @Test
    public void requestsEarnThreeQuartersOfTheRatio() {
        share = new RetryShare(new RetryShare.Bounds(1, 40, Duration.ofSeconds(10)), time, () -> 4);
        for (int i = 0; i < 20; i++) {
            receiveRequests(4);
            assertEquals(sentRepeats(100), 3);
        }
    }

    /** Half of the equal part of 40 among 4 entries is held, and 0.05 for each request of the window. */
    @Test
    public void burstIsLimitedToWhatIsHeld() {
        receiveRequests(100);
        assertEquals(sentRepeats(100), 10);
        assertEquals(sentRepeats(100), 0);
    }

    @Test
    public void onlyTheEqualPartIsHeldAfterTheWindow() {
        receiveRequests(100);
        time.advanceMillis(10_100);
        assertEquals(sentRepeats(100), 5);
        time.advanceMillis(10_100);
        assertEquals(sentRepeats(100), 0, "nothing is earned without requests");
    }

    @Test
    public void reservedRepeatCountsAsHeldUntilItIsSent() {
        receiveRequests(100);
        time.advanceMillis(10_100);
        RetryShare.Repeat waiting = share.tryReserve("orders").orElseThrow();
        receiveRequests(1_000);
        time.advanceMillis(10_100);
        assertEquals(sentRepeats(100), 4);
        waiting.onSent();
        receiveRequests(1_000);
        time.advanceMillis(10_100);
        assertEquals(sentRepeats(100), 5);
    }

    @Test
    public void releasedRepeatIsAvailableAgain() {
        receiveRequests(10);
        RetryShare.Repeat unused = share.tryReserve("orders").orElseThrow();
        assertTrue(share.tryReserve("orders").isEmpty());
        unused.release();
        assertEquals(sentRepeats(100), 1);
    }

    @Test
    public void entryThatKnowsNoOtherYetHoldsNoFixedPart() {
        knownEntries = 0;
        receiveRequests(100);
        assertEquals(sentRepeats(100), 5);
    }

    /** Guards against a part that grows while other entries are away and may come back with what they hold. */
    @Test
    public void entriesThatAreNoLongerKnownStillCountForAWhile() {
        receiveRequests(100);
        knownEntries = 1;
        time.advanceMillis(30_000);
        receiveRequests(10);
        assertEquals(sentRepeats(100), 5);
        time.advanceMillis(40_000);
        receiveRequests(1_000);
        time.advanceMillis(10_100);
        assertEquals(sentRepeats(100), 20);
    }

    @Test
    public void servicesHaveSeparateBudgets() {
        receiveRequests(100);
        assertTrue(share.tryReserve("models").isEmpty());
    }
}
