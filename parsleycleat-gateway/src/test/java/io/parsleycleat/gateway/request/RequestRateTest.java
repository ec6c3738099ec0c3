package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.request.limits.RequestRate;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RequestRateTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final RequestLimit ONE = new RequestLimit(1);
    private static final RequestLimit TWO = new RequestLimit(2);

    private static RequestRate limitedTo(double perSecond) {
        RequestRate limited = new RequestRate(1, 1);
        limited.onAnswer(new RequestLimit(perSecond), 0, 0);
        return limited;
    }

    @Test
    public void everythingStartsWithoutALimit() {
        RequestRate unlimited = new RequestRate(1, 1);
        assertTrue(LongStream.range(0, 1_000).allMatch(i -> unlimited.tryStart(0) == i + 1));
        assertEquals(unlimited.waitBehind(100, 0), Duration.ZERO);
    }

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {{0.1}, {0.3}, {1.0}, {1.4}, {5.0}, {80.0}};
    }

    @Test(dataProvider = "limits")
    public void startsFollowTheLimitWithoutLeavingAnyOfItUnused(double limit) {
        RequestRate limited = limitedTo(limit);
        int steps = 100_000;
        long started = IntStream.rangeClosed(1, steps)
                .filter(i -> limited.tryStart(i * SECOND / 500) > 0)
                .count();
        assertEquals(started / (steps / 500.0), limit, limit * 0.05);
    }

    /** Guards against a pause in the demand that is made up for by a burst far above the limit. */
    @Test(dataProvider = "limits")
    public void longPauseDoesNotAllowABurstAboveTheLimit(double limit) {
        RequestRate limited = limitedTo(limit);
        long start = 1_000 * SECOND;
        long started = IntStream.range(0, 4_000)
                .filter(i -> limited.tryStart(start + i * SECOND / 1_000) > 0)
                .count();
        assertTrue(started <= 4.25 * limit + 2, started + " requests in 4 s");
    }

    /** Guards against an answer without a limit that overtakes, or is overtaken by, one that names it. */
    @Test
    public void limitEndsOnlyByTheAnswerToALaterStart() {
        RequestRate limited = new RequestRate(1, 1);
        long early = limited.tryStart(0);
        limited.onAnswer(ONE, 0, 0);
        assertFalse(limited.onAnswer(null, early, 0));
        assertFalse(limited.onAnswer(null, 0, 0));
        long later = limited.tryStart(2 * SECOND);
        assertTrue(later > 0);
        assertTrue(limited.onAnswer(null, later, 2 * SECOND));
        assertEquals(limited.limit(), Optional.empty());
    }

    @Test
    public void limitRisesOnlyByTheAnswerToALaterStartAndFallsAtOnce() {
        RequestRate limited = new RequestRate(1, 1);
        long early = limited.tryStart(0);
        limited.onAnswer(TWO, 0, 0);
        assertTrue(limited.onAnswer(ONE, early, 0));
        assertFalse(limited.onAnswer(TWO, early, 0));
        long later = limited.tryStart(2 * SECOND);
        assertTrue(limited.onAnswer(TWO, later, 2 * SECOND));
    }

    /** Guards against a start number of an earlier process that lifts the limit of the present one. */
    @Test
    public void startOfAnotherProcessDoesNotEndTheLimit() {
        RequestRate limited = limitedTo(1);
        assertFalse(limited.onAnswer(null, 1_000, SECOND));
    }

    @Test
    public void unreadableLimitChangesNothing() {
        RequestRate limited = limitedTo(1);
        long later = limited.tryStart(2 * SECOND);
        assertFalse(limited.onAnswer(RequestLimit.of(-1), later, 2 * SECOND));
        assertFalse(limited.onAnswer(RequestLimit.of(Double.NaN), later, 2 * SECOND));
        assertEquals(limited.limit(), Optional.of(ONE));
    }

    /** Guards against a limit of zero that never ends because no request is sent that could tell its end. */
    @Test
    public void zeroLimitLeavesARequestNowAndThen() {
        RequestRate limited = limitedTo(0);
        long started = IntStream.rangeClosed(1, 1_000)
                .filter(i -> limited.tryStart(i * SECOND / 10) > 0)
                .count();
        assertTrue(started >= 1 && started <= 10, started + " requests in 100 s");
    }

    @Test
    public void limitOfAnotherStartOfTheUpstreamIsForgotten() {
        RequestRate limited = limitedTo(1);
        limited.reset();
        assertEquals(limited.limit(), Optional.empty());
        limited.adopt(TWO, 0);
        assertEquals(limited.limit(), Optional.of(TWO));
        limited.adopt(ONE, 0);
        assertEquals(limited.limit(), Optional.of(TWO));
    }

    /** Guards against refused callers that all come back at the same moment. */
    @Test
    public void refusedRequestsComeBackInTurn() {
        RequestRate limited = limitedTo(2);
        List<Duration> returns = IntStream.range(0, 100)
                .mapToObj(i -> limited.retryAfter(0, 1, 0))
                .toList();
        // Twenty have a turn within ten seconds; the others are spread over the second half of that time.
        assertTrue(mostInASecond(returns, 0, 5) <= 3, "too early: " + returns);
        assertTrue(mostInASecond(returns, 5, 11) <= 20, "at once: " + returns);
        assertTrue(returns.stream().allMatch(r -> r.compareTo(Duration.ofSeconds(11)) <= 0));
    }

    private static long mostInASecond(List<Duration> returns, int from, int to) {
        return IntStream.range(from, to)
                .mapToLong(second ->
                        returns.stream().filter(r -> r.toSeconds() == second).count())
                .max()
                .orElse(0);
    }

    /** Guards against less urgent callers who are told to come back before more urgent ones. */
    @Test
    public void moreUrgentRequestsComeBackFirst() {
        RequestRate limited = limitedTo(1);
        Duration free = limited.retryAfter(0, 2, 0);
        IntStream.range(0, 3).forEach(i -> limited.retryAfter(0, 2, 0));
        Duration paying = limited.retryAfter(0, 0, 0);
        assertEquals(paying, free);
        IntStream.range(0, 5).forEach(i -> limited.retryAfter(0, 0, 0));
        assertTrue(limited.retryAfter(0, 2, 0).compareTo(Duration.ofSeconds(6)) > 0);
    }

    @Test
    public void onlyRequestsWhoseTurnComesTooLateAreBeyondTheirWait() {
        RequestRate limited = limitedTo(1);
        Function<Integer, Duration> wait = i -> Duration.ofMillis(i);
        assertEquals(limited.beyondWait(List.of(1_500, 1_500, 2_500, 500), wait, 0), List.of(1_500, 500));
        assertEquals(new RequestRate(1, 1).beyondWait(List.of(0, 0), wait, 0), List.of());
    }
}
