package io.parsleycleat.core.request.outcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.outcome.Outcome;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LogIntentLedgerTest {
    private static final LedgerSettings SETTINGS = LedgerSettings.DEFAULTS.withShards(1);
    private static final String STREAM = "intents-orders-0";
    private static final ByteString BODY = ByteString.copyFromUtf8("two metres of silk");

    private ManualTime time;
    private FakeLog log;
    private LogIntentLedger first;
    private LogIntentLedger second;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        log = new FakeLog(time);
        first = ledger("first");
        second = ledger("second");
    }

    private LogIntentLedger ledger(String owner) {
        return new LogIntentLedger(log, time, time, owner, SETTINGS);
    }

    private IntentRequest request(int n) {
        return request(n, BODY);
    }

    private IntentRequest request(int n, ByteString body) {
        return new IntentRequest(
                "orders",
                "mekdes",
                IdempotencyKeyTest.keyAt(Duration.ofDays(20_000).toMillis(), n),
                body);
    }

    private static String run(CompletableFuture<IntentDecision> decision) {
        return ((IntentDecision.Run) decision.join()).attemptId();
    }

    private static ResultCode refused(CompletableFuture<IntentDecision> decision) {
        assertTrue(decision.isDone(), "no decision yet");
        return ((IntentDecision.Refused) decision.join()).refusal().code();
    }

    private static Outcome outcome(IntentRequest request, String attemptId, String body) {
        return Outcome.newBuilder()
                .setAccountId(request.accountId())
                .setIdempotencyKey(request.idempotencyKey())
                .setAttemptId(attemptId)
                .setStatus(201)
                .setBody(ByteString.copyFromUtf8(body))
                .build();
    }

    @Test
    public void runsOnceAndRepeatsTheRecordedAnswerEverywhere() {
        IntentRequest order = request(1);
        String attempt = run(first.begin(order));
        assertEquals(refused(first.begin(order)), ResultCode.ATTEMPT_IN_PROGRESS);
        assertEquals(refused(second.begin(order)), ResultCode.OUTCOME_UNKNOWN);
        CompletableFuture<Void> recorded = first.complete("orders", outcome(order, attempt, "receipt 1"));
        time.advance(Duration.ofSeconds(1));
        assertTrue(recorded.isDone());
        for (LogIntentLedger ledger : List.of(first, second, ledger("replaced"))) {
            IntentDecision decision = ledger.begin(order).join();
            assertEquals(
                    ((IntentDecision.Recorded) decision).outcome().getBody().toStringUtf8(), "receipt 1");
        }
    }

    @Test
    public void refusesAnotherBodyAndKeepsAccountsApart() {
        run(first.begin(request(1)));
        IntentRequest other = request(1, ByteString.copyFromUtf8("nine metres"));
        assertEquals(refused(first.begin(other)), ResultCode.IDEMPOTENCY_KEY_REUSED);
        assertEquals(refused(second.begin(other)), ResultCode.IDEMPOTENCY_KEY_REUSED);
        time.advance(Duration.ofSeconds(1));
        run(first.begin(new IntentRequest("orders", "schieferpfad", other.idempotencyKey(), BODY)));
    }

    @Test
    public void twoSidesAtOnceFollowTheOrderOfTheLog() {
        log.setReads(FakeLog.Mode.HANGS);
        CompletableFuture<IntentDecision> a = first.begin(request(1));
        CompletableFuture<IntentDecision> b = second.begin(request(1));
        assertFalse(a.isDone() || b.isDone());
        log.setReads(FakeLog.Mode.WORKS);
        LogIntentLedger c = ledger("third");
        assertEquals(refused(c.begin(request(1))), ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    public void aLostAppendAnswerIsDecidedByReadingBack() {
        log.setAppends(FakeLog.Mode.ANSWER_LOST);
        run(first.begin(request(1)));
        log.setAppends(FakeLog.Mode.WORKS);
        assertEquals(refused(second.begin(request(1))), ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    public void anIntentThatAppearsAfterGivingUpDoesNotHoldTheKey() {
        log.setAppends(FakeLog.Mode.HELD_BACK);
        assertEquals(refused(first.begin(request(1))), ResultCode.LOG_UNAVAILABLE);
        log.setAppends(FakeLog.Mode.WORKS);
        log.release();
        assertEquals(refused(second.begin(request(1))), ResultCode.OUTCOME_UNKNOWN);
        time.advance(Duration.ofSeconds(2));
        run(second.begin(request(1)));
    }

    @Test
    public void aCancellationAheadOfItsIntentStillCounts() {
        log.setAppends(FakeLog.Mode.HELD_BACK);
        assertEquals(refused(first.begin(request(1))), ResultCode.LOG_UNAVAILABLE);
        log.setAppends(FakeLog.Mode.WORKS);
        time.advance(Duration.ofSeconds(2));
        log.release();
        run(second.begin(request(1)));
    }

    @Test
    public void aLogThatIsOutRefusesAtOnceAndWithoutAsking() {
        log.setAppends(FakeLog.Mode.REFUSES);
        log.setReads(FakeLog.Mode.REFUSES);
        assertEquals(refused(first.begin(request(1))), ResultCode.LOG_UNAVAILABLE);
        int calls = log.appendCalls();
        assertEquals(refused(first.begin(request(2))), ResultCode.LOG_UNAVAILABLE);
        assertEquals(log.appendCalls(), calls);
        log.setAppends(FakeLog.Mode.WORKS);
        log.setReads(FakeLog.Mode.WORKS);
        time.advance(Duration.ofSeconds(2));
        run(first.begin(request(2)));
    }

    @Test
    public void aLogThatHangsRefusesAfterTheTimeout() {
        log.setAppends(FakeLog.Mode.HANGS);
        CompletableFuture<IntentDecision> decision = first.begin(request(1));
        time.advance(SETTINGS.timeout().minusMillis(1));
        assertFalse(decision.isDone());
        time.advance(Duration.ofMillis(1));
        assertEquals(refused(decision), ResultCode.LOG_UNAVAILABLE);
    }

    @Test
    public void aSideThatWasPausedBeforeReadingBackDoesNotRun() {
        CompletableFuture<IntentDecision> decision = pausedBetweenAppendAndRead();
        assertEquals(refused(decision), ResultCode.LOG_UNAVAILABLE);
        time.advance(Duration.ofSeconds(3));
        run(second.begin(request(2)));
    }

    private CompletableFuture<IntentDecision> pausedBetweenAppendAndRead() {
        PausingLog pausing = new PausingLog(log, () -> time.pause(Duration.ofSeconds(10)));
        LogIntentLedger paused = new LogIntentLedger(pausing, time, time, "paused", SETTINGS);
        return paused.begin(request(2));
    }

    @Test
    public void aKeyOlderThanTheReadableRecordsIsRefused() {
        run(first.begin(request(1)));
        time.pause(Duration.ofMinutes(10));
        run(first.begin(request(2)));
        log.trim(STREAM, 1);
        LogIntentLedger replaced = ledger("replaced");
        replaced.warmUp("orders").join();
        assertEquals(refused(replaced.begin(request(1))), ResultCode.IDEMPOTENCY_KEY_EXPIRED);
        time.pause(Duration.ofMinutes(1));
        String fresh = IdempotencyKeyTest.keyAt(time.wallMillis(), 3);
        time.advance(Duration.ofSeconds(1));
        run(replaced.begin(new IntentRequest("orders", "mekdes", fresh, BODY)));
    }

    @Test
    public void aRunThatDidNotStartFreesItsKeyAndOneThatBrokeOffDoesNot() {
        first.cancel(request(1), run(first.begin(request(1))));
        time.advance(Duration.ofSeconds(1));
        String attempt = run(second.begin(request(1)));
        second.abandon(request(1), attempt);
        assertEquals(refused(second.begin(request(1))), ResultCode.OUTCOME_UNKNOWN);
        assertEquals(refused(first.begin(request(1))), ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    public void aRepeatDuringAnOutageIsNeverToldThatNothingRan() {
        String attempt = run(first.begin(request(1)));
        first.abandon(request(1), attempt);
        log.setReads(FakeLog.Mode.REFUSES);
        log.setAppends(FakeLog.Mode.REFUSES);
        assertEquals(refused(first.begin(request(1))), ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    public void anOutcomeIsRecordedAfterAnOutageAndKnownHereBefore() {
        IntentRequest order = request(1);
        String attempt = run(first.begin(order));
        log.setAppends(FakeLog.Mode.REFUSES);
        CompletableFuture<Void> recorded = first.complete("orders", outcome(order, attempt, "receipt"));
        time.advance(Duration.ofMillis(100));
        assertFalse(recorded.isDone());
        assertTrue(first.begin(order).join() instanceof IntentDecision.Recorded);
        log.setAppends(FakeLog.Mode.WORKS);
        time.advance(Duration.ofSeconds(2));
        assertTrue(recorded.isDone());
        assertTrue(second.begin(order).join() instanceof IntentDecision.Recorded);
    }

    @Test
    public void aBodyTooLargeToKeepIsNotAnsweredInPart() {
        IntentRequest order = request(1);
        first.complete("orders", outcome(order, run(first.begin(order)), "x".repeat(SETTINGS.maxOutcomeBytes() + 1)));
        time.advance(Duration.ofSeconds(1));
        assertEquals(refused(second.begin(order)), ResultCode.OUTCOME_TOO_LARGE);
    }

    @Test
    public void manyRequestsShareAnAppend() {
        List<CompletableFuture<IntentDecision>> decisions =
                IntStream.range(0, 100).mapToObj(i -> first.begin(request(i))).toList();
        time.advance(Duration.ofSeconds(1));
        decisions.forEach(LogIntentLedgerTest::run);
        assertEquals(log.appendCalls(), 2);
    }
}
