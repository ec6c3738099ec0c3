package io.parsleycleat.core.request.serve;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.peer.FakeSides;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.connection.run.RunClient;
import io.parsleycleat.core.connection.run.RunHandle;
import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.request.outcome.CrashNotices;
import io.parsleycleat.core.request.outcome.CrashSuspects;
import io.parsleycleat.core.request.routing.Selection;
import io.parsleycleat.core.request.routing.SelectionRequest;
import io.parsleycleat.core.request.routing.UpstreamSelector;
import io.parsleycleat.core.request.trace.TraceStore;
import io.parsleycleat.core.version.configuration.FixedConfiguration;
import io.parsleycleat.core.version.configuration.VirtualScheduler;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import io.parsleycleat.wire.run.RunMessage;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RequestRunTest {
    private static final Duration MAX_ANSWER = Duration.ofMinutes(1);

    private FakeSides sides;
    private ScheduledExecutorService scheduler;
    private final RecordingSink sink = new RecordingSink();
    private Supplier<CompletableFuture<Either<Refusal, Long>>> renewal;

    @BeforeMethod
    public void prepare() {
        sides = new FakeSides();
        scheduler = Executors.newSingleThreadScheduledExecutor();
        renewal = () -> CompletableFuture.completedFuture(Either.right(2L));
    }

    @AfterMethod
    public void stop() {
        scheduler.shutdownNow();
        sink.clear();
    }

    @Test
    public void refusedAttemptIsTriedElsewhere() {
        sides.add("side-1", refusing(ResultCode.QUEUE_FULL));
        sides.add("side-2", completing("text"));
        start(true);
        assertEquals(sink.text.toString(), "text");
        assertEquals(sink.ends, List.of(ResultCode.DONE));
    }

    @Test
    public void nonIdempotentRequestIsNotRepeatedAfterItMayHaveRun() {
        sides.add("side-1", refusing(ResultCode.UPSTREAM_LOST));
        sides.add("side-2", completing("twice"));
        start(false);
        assertEquals(sink.ends, List.of(ResultCode.UPSTREAM_LOST));
        assertEquals(sides.sent().size(), 1);
    }

    @Test
    public void nonIdempotentRequestIsTriedElsewhereWhenItDidNotRun() {
        sides.add("side-1", refusing(ResultCode.UPSTREAM_LEAVING));
        sides.add("side-2", completing("once"));
        start(false);
        assertEquals(sink.ends, List.of(ResultCode.DONE));
    }

    @Test
    public void nothingIsRepeatedOnceTheCallerHasAPart() {
        sides.add("side-1", (message, channel) -> {
            channel.answer(head(message));
            channel.answer(chunk(message, "part"));
            channel.answer(end(message, ResultCode.UPSTREAM_LOST, 1));
        });
        sides.add("side-2", completing("again"));
        sink.startsAtOnce = true;
        start(true);
        assertEquals(sink.text.toString(), "part");
        assertEquals(sink.ends, List.of(ResultCode.UPSTREAM_LOST));
    }

    @Test
    public void resultIsNeverNotRunAfterAnAttemptThatMayHaveRun() {
        sides.add("side-1", refusing(ResultCode.UPSTREAM_CRASHED));
        sides.add("side-2", refusing(ResultCode.QUARANTINED));
        start(true);
        assertEquals(sink.ends, List.of(ResultCode.UPSTREAM_CRASHED));
    }

    @Test
    public void attemptAfterACrashIsMarkedAsSuspect() {
        sides.add(
                "side-1",
                (message, channel) -> channel.answer(RunMessage.newBuilder()
                        .setRunId(message.getRunId())
                        .setEnd(AnswerEnd.newBuilder()
                                .setCode(ResultCode.UPSTREAM_CRASHED.number())
                                .setUpstreamCrashed(true))
                        .build()));
        sides.add("side-2", completing("ok"));
        start(true);
        assertEquals(sides.sent().stream().map(m -> m.getStart().getSuspect()).toList(), List.of(false, true));
    }

    @Test
    public void answerWithAMissingChunkIsNotWhole() {
        sides.add("side-1", (message, channel) -> {
            channel.answer(head(message));
            channel.answer(chunk(message, "first"));
            channel.answer(end(message, ResultCode.DONE, 2));
        });
        start(false);
        assertEquals(sink.ends, List.of(ResultCode.ANSWER_INCOMPLETE));
    }

    @Test
    public void lateFrameOfAnEndedRunHarmsNobody() {
        List<RunMessage> first = new ArrayList<>();
        sides.add("side-1", (message, channel) -> {
            first.add(message);
            channel.answer(end(message, ResultCode.QUEUE_FULL, 0));
        });
        sides.add("side-2", (message, channel) -> {
            channel.answer(chunk(first.get(0), "late"));
            completing("right").accept(message, channel);
        });
        start(true);
        assertEquals(sink.text.toString(), "right");
    }

    @Test
    public void tokensOfAPassedEpochAreTakenAnew() {
        sides.add("side-1", (message, channel) -> {
            boolean stale = message.getStart().getEscrowEpoch() < 2;
            (stale ? refusing(ResultCode.EPOCH_STALE) : completing("ok")).accept(message, channel);
        });
        start(false);
        assertEquals(sink.ends, List.of(ResultCode.DONE));
        assertEquals(sides.sent().size(), 2);
    }

    /** Guards against work for nobody: a start that follows the caller's leaving while an upstream was chosen. */
    @Test
    public void requestWhoseCallerLeftDuringTheChoiceIsNotStarted() {
        sides.add("side-1", completing("for nobody"));
        CompletableFuture<Either<Refusal, Selection>> choice = new CompletableFuture<>();
        RequestRun run = create(true, request -> choice, scheduler);
        run.start();
        run.cancel();
        choice.complete(Either.right(selection("side-1")));
        assertEquals(sink.ends, List.of(ResultCode.CALLER_GONE));
        assertEquals(sides.sent(), List.of());
    }

    /** Guards against a request that runs after it was answered that it did not run. */
    @Test
    public void requestThatWasRefusedDuringTheChoiceIsNotStarted() {
        sides.add("side-1", completing("late"));
        VirtualScheduler virtual = new VirtualScheduler();
        CompletableFuture<Either<Refusal, Selection>> choice = new CompletableFuture<>();
        create(false, request -> choice, virtual).start();
        virtual.advance(MAX_ANSWER.toMillis());
        assertEquals(sink.ends, List.of(ResultCode.DEADLINE_UNREACHABLE));
        choice.complete(Either.right(selection("side-1")));
        assertEquals(sides.sent(), List.of());
        assertEquals(sink.ends.size(), 1);
    }

    /** Guards against a start that reaches the side behind the message that cancels it. */
    @Test
    public void runThatIsCancelledBeforeItsConnectionIsThereIsNotStarted() {
        CompletableFuture<PeerChannel> connection = new CompletableFuture<>();
        sides.add("side-1", completing("for nobody"));
        PeerChannel channel = sides.connect("side-1").join();
        sides.delay(connection);
        RequestRun run = create(
                true, request -> CompletableFuture.completedFuture(Either.right(selection("side-1"))), scheduler);
        run.start();
        run.cancel();
        connection.complete(channel);
        assertEquals(sides.sent().stream().filter(RunMessage::hasStart).toList(), List.of());
        assertEquals(sink.ends, List.of(ResultCode.CALLER_GONE));
    }

    /** Guards against an upstream that a retry waits at for longer than the time that is left. */
    @Test
    public void retryIsChosenByTheTimeThatIsLeft() {
        EntryFixture entry = new EntryFixture(1);
        List<Duration> deadlines = new ArrayList<>();
        entry.selector = request -> {
            deadlines.add(request.deadline());
            return CompletableFuture.completedFuture(EntryFixture.firstAllowed(request));
        };
        entry.sides.add("side-1", (start, channel) -> {
            entry.scheduler.advance(10_000);
            EntryFixture.end(start, channel, ResultCode.QUEUE_FULL, 0);
        });
        entry.sides.add("side-2", EntryFixture::serve);
        entry.get();
        assertEquals(deadlines, List.of(Duration.ofSeconds(30), Duration.ofSeconds(20)));
    }

    /** Guards against retries that each restart of a process grants anew. */
    @Test
    public void retriesAreEarnedByRequestsUpToALimit() {
        RetryBudget budget = new RetryBudget(0.25);
        assertEquals(grantedRetries(budget), 0);
        IntStream.range(0, 40).forEach(i -> budget.onRequest());
        assertEquals(grantedRetries(budget), 10);
        IntStream.range(0, 4_000).forEach(i -> budget.onRequest());
        assertEquals(grantedRetries(budget), 100);
    }

    private static long grantedRetries(RetryBudget budget) {
        return Stream.generate(budget::tryRetry).limit(1_000).filter(g -> g).count();
    }

    private void start(boolean idempotent) {
        create(idempotent, new FirstAllowed(), scheduler).start();
    }

    private RequestRun create(boolean idempotent, UpstreamSelector selector, ScheduledExecutorService timers) {
        RunClient runs = new RunClient(sides, sides, timers, 1);
        RunContext tools =
                new RunContext(selector, runs, new RetryBudget(1), suspects(), timers, TimeSource.SYSTEM, MAX_ANSWER);
        SelectionRequest request = new SelectionRequest(
                "a", false, new AdapterVersion("x", "1"), "m", "", 0, "", Set.of(), Duration.ofSeconds(30));
        RequestConfiguration configuration = new RequestConfiguration(
                Account.getDefaultInstance(), Optional.empty(), idempotent, id -> Optional.empty(), () -> true);
        return new RequestRun(
                tools,
                configuration,
                configuration.start().setEscrowEpoch(1).build(),
                () -> renewal.get(),
                request,
                new TraceStore(TimeSource.SYSTEM).begin("r"),
                sink);
    }

    private static Selection selection(String side) {
        return new Selection(new Vm(side, ProcessRole.SIDE, side, "dc", "r", side, false), "test");
    }

    private SuspectRouting suspects() {
        CrashSuspects known = new CrashSuspects(Duration.ofMinutes(1), Duration.ofMinutes(1));
        CrashNotices notices = new CrashNotices(
                known, sides, TimeSource.SYSTEM, scheduler, List::of, id -> Optional.empty(), notice -> {});
        Membership nobody = new Membership(() -> CompletableFuture.completedFuture(List.of()), TimeSource.SYSTEM);
        return new SuspectRouting(known, notices, nobody, FixedConfiguration.EMPTY, TimeSource.SYSTEM);
    }

    private static java.util.function.BiConsumer<RunMessage, FakeSides.Channel> refusing(ResultCode code) {
        return (message, channel) -> channel.answer(end(message, code, 0));
    }

    private static java.util.function.BiConsumer<RunMessage, FakeSides.Channel> completing(String text) {
        return (message, channel) -> {
            channel.answer(head(message));
            channel.answer(chunk(message, text));
            channel.answer(end(message, ResultCode.DONE, 1));
        };
    }

    private static RunMessage head(RunMessage start) {
        return RunMessage.newBuilder()
                .setRunId(start.getRunId())
                .setHead(AnswerHead.newBuilder().setStatus(200))
                .build();
    }

    private static RunMessage chunk(RunMessage start, String text) {
        return RunMessage.newBuilder()
                .setRunId(start.getRunId())
                .setChunk(AnswerChunk.newBuilder().setData(ByteString.copyFromUtf8(text)))
                .build();
    }

    private static RunMessage end(RunMessage start, ResultCode code, int chunks) {
        return RunMessage.newBuilder()
                .setRunId(start.getRunId())
                .setEnd(AnswerEnd.newBuilder().setCode(code.number()).setChunkCount(chunks))
                .build();
    }

    /** Chooses the first of two sides that is not excluded. */
    private static final class FirstAllowed implements UpstreamSelector {
        @Override
        public CompletableFuture<Either<Refusal, Selection>> select(SelectionRequest request) {
            return CompletableFuture.completedFuture(Stream.of("side-1", "side-2")
                    .filter(s -> !request.excludedUpstreams().contains(s))
                    .findFirst()
                    .<Either<Refusal, Selection>>map(s -> Either.right(selection(s)))
                    .orElseGet(() -> Either.left(Refusal.of(ResultCode.NO_UPSTREAM))));
        }
    }

    /** Records what a caller would get. */
    private static final class RecordingSink implements AnswerSink {
        private final StringBuilder text = new StringBuilder();
        private final List<ResultCode> ends = new ArrayList<>();
        private boolean startsAtOnce;

        void clear() {
            text.setLength(0);
            ends.clear();
            startsAtOnce = false;
        }

        @Override
        public void onHead(AnswerHead head) {}

        @Override
        public void onChunk(AnswerChunk chunk, RunHandle run) {
            text.append(chunk.getData().toStringUtf8());
        }

        @Override
        public void onEnd(AnswerEnd end) {
            ends.add(ResultCode.ofNumber(end.getCode()).orElseThrow());
        }

        @Override
        public void onBroken() {}

        @Override
        public void onRetry() {
            text.setLength(0);
        }

        @Override
        public boolean isAnswerStarted() {
            return startsAtOnce && text.length() > 0;
        }
    }
}
