package io.parsleycleat.core.request.execute;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.peer.FakeSides;
import io.parsleycleat.core.connection.run.RunAnswer;
import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.connection.upstream.EngineAnswer;
import io.parsleycleat.core.connection.upstream.EngineHandle;
import io.parsleycleat.core.connection.upstream.EngineRun;
import io.parsleycleat.core.connection.upstream.EngineState;
import io.parsleycleat.core.connection.upstream.ModelEngine;
import io.parsleycleat.core.connection.upstream.PlainService;
import io.parsleycleat.core.connection.upstream.ServiceAnswer;
import io.parsleycleat.core.connection.upstream.ServiceRequest;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.result.UpstreamException;
import io.parsleycleat.core.process.slots.Pin;
import io.parsleycleat.core.process.slots.SlotTable;
import io.parsleycleat.core.request.outcome.CrashNotices;
import io.parsleycleat.core.request.outcome.CrashSuspects;
import io.parsleycleat.core.request.outcome.IntentDecision;
import io.parsleycleat.core.request.outcome.IntentLedger;
import io.parsleycleat.core.request.outcome.IntentRequest;
import io.parsleycleat.core.request.queue.FairRunQueue;
import io.parsleycleat.core.request.queue.QueueSettings;
import io.parsleycleat.core.request.queue.RunQueue;
import io.parsleycleat.core.request.routing.RecentPrefixes;
import io.parsleycleat.core.version.configuration.VirtualScheduler;
import io.parsleycleat.wire.outcome.Outcome;
import io.parsleycleat.wire.run.AdapterTarget;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import io.parsleycleat.wire.run.RunId;
import io.parsleycleat.wire.run.ServiceTarget;
import io.parsleycleat.wire.run.Start;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ExecutionEndTest {
    private static final String UPSTREAM = "upstream-1";

    private VirtualScheduler scheduler;
    private FairRunQueue fairQueue;
    private RunQueue queue;
    private SlotTable slots;
    private SideGate gate;
    private ScriptedEngine engine;
    private ScriptedService service;
    private ScriptedLedger ledger;
    private String serviceName;
    private CrashWatch.CrashListener crashListener;
    private RecordedAnswer answer;
    private int sequence;

    @BeforeMethod
    public void prepare() {
        scheduler = new VirtualScheduler();
        fairQueue = new FairRunQueue(QueueSettings.DEFAULT.withBounds(1, 10), scheduler, new MetricRegistry());
        queue = fairQueue;
        slots = (adapter, priority) -> CompletableFuture.completedFuture(new FreePin());
        gate = new SideGate(List.of(), List.of(), List.of());
        engine = new ScriptedEngine();
        service = new ScriptedService();
        ledger = new ScriptedLedger();
        serviceName = "orders";
        crashListener = (incarnation, requests) -> CompletableFuture.completedFuture(null);
        answer = new RecordedAnswer();
    }

    // Actions that throw

    /** Where something throws, and the result that is told then. */
    private record Fault(String place, ResultCode expected, java.util.function.Consumer<ExecutionEndTest> put) {
        @Override
        public String toString() {
            return place;
        }
    }

    @DataProvider
    public Object[][] engineFaults() {
        return new Object[][] {
            {
                new Fault(
                        "a check on arrival",
                        ResultCode.FAILURE_BEFORE_RUN,
                        t -> t.gate = new SideGate(List.of(start -> fault()), List.of(), List.of()))
            },
            {
                new Fault(
                        "a check before the run",
                        ResultCode.FAILURE_BEFORE_RUN,
                        t -> t.gate = new SideGate(List.of(), List.of(), List.of(start -> fault())))
            },
            {new Fault("the slot table", ResultCode.FAILURE_BEFORE_RUN, t -> t.slots = (adapter, priority) -> fault())},
            {new Fault("the start at the engine", ResultCode.FAILURE_UNEXPECTED, t -> t.engine.onRun = a -> fault())},
            {
                new Fault("the end of the answer", ResultCode.DONE, t -> {
                    t.slots = (adapter, priority) -> CompletableFuture.completedFuture(new BrokenPin());
                    t.engine.onRun = a -> a.onEnd("stop", 0, 0);
                })
            },
            {
                new Fault("the news of a crash", ResultCode.UPSTREAM_LOST, t -> {
                    t.crashListener = (incarnation, requests) -> fault();
                    t.engine.onRun = a -> {
                        t.engine.incarnation = "after";
                        a.onFailure(lost());
                    };
                    t.engine.onResume = a -> a.onFailure(lost());
                })
            },
        };
    }

    /** Guards against a run on an engine that nobody ends, and whose place nobody gets, since something threw. */
    @Test(dataProvider = "engineFaults")
    public void engineRunEndsWhateverThrows(Fault fault) {
        fault.put().accept(this);
        startOnEngine();
        assertEquals(answer.codes, List.of(fault.expected().number()));
        assertEquals(queue.running(), 0, "places that are taken for ever");
    }

    @DataProvider
    public Object[][] serviceFaults() {
        return new Object[][] {
            {
                new Fault(
                        "a check before the run",
                        ResultCode.FAILURE_BEFORE_RUN,
                        t -> t.gate = new SideGate(List.of(), List.of(), List.of(start -> fault())))
            },
            {new Fault("the ledger", ResultCode.FAILURE_BEFORE_RUN, t -> t.ledger.decision = ExecutionEndTest::fault)},
            {
                new Fault(
                        "the ledger's answer",
                        ResultCode.FAILURE_BEFORE_RUN,
                        t -> t.ledger.decision =
                                () -> CompletableFuture.failedFuture(new IllegalStateException("a fault of the test")))
            },
            {new Fault("the call", ResultCode.FAILURE_UNEXPECTED, t -> t.service.onCall = a -> fault())},
            {
                new Fault("the record of the outcome", ResultCode.DONE, t -> {
                    t.ledger.completes = false;
                    t.service.onCall = a -> {
                        a.onHead(200, List.of());
                        a.onEnd();
                    };
                })
            },
        };
    }

    /** Guards against a run on a service that nobody ends, and whose place nobody gets, since something threw. */
    @Test(dataProvider = "serviceFaults")
    public void serviceRunEndsWhateverThrows(Fault fault) {
        fault.put().accept(this);
        startOnService();
        assertEquals(answer.codes, List.of(fault.expected().number()));
        assertEquals(queue.running(), 0, "places that are taken for ever");
    }

    /** Guards against a long answer that is given up although its engine has gone on with it after each loss. */
    @Test
    public void answerThatGoesOnAfterEachLossIsNotGivenUp() {
        int[] next = {0};
        engine.onRun = a -> {
            a.onToken(next[0]++, "x");
            a.onFailure(lost());
        };
        engine.onResume = a -> {
            a.onToken(next[0]++, "x");
            if (next[0] < 4) {
                a.onFailure(lost());
            } else {
                a.onEnd("stop", 1, 4);
            }
        };
        startOnEngine();
        assertEquals(answer.codes, List.of(ResultCode.DONE.number()));
    }

    // The stop

    @DataProvider
    public Object[][] upstreams() {
        return new Object[][] {{"engine"}, {"service"}};
    }

    /** Guards against "not run" for a run that gets its turn in the moment in which a stop ends it. */
    @Test(dataProvider = "upstreams")
    public void runThatGetsItsTurnWhileItIsStoppedDoesNotBegin(String upstream) {
        List<String> calls = new ArrayList<>();
        engine.onRun = a -> calls.add("run");
        service.onCall = a -> calls.add("call");
        startOnEngine();
        RecordedAnswer first = answer;
        answer = new RecordedAnswer();
        queue = new TurnAtCancel(queue);
        if (upstream.equals("engine")) {
            startOnEngine();
        } else {
            startOnService();
        }
        answer.stop();
        assertEquals(answer.codes, List.of(ResultCode.PROCESS_STOPPING.number()));
        assertEquals(calls, List.of("run"));
        first.stop();
    }

    /** Guards against a waiting run that begins at the end of a stop, since the run before it was ended first. */
    @Test
    public void waitingRunDoesNotBeginWhenTheRunBeforeItIsStopped() {
        List<String> calls = new ArrayList<>();
        engine.onRun = a -> calls.add("run");
        startOnEngine();
        RecordedAnswer running = answer;
        answer = new RecordedAnswer();
        startOnEngine();
        RecordedAnswer waiting = answer;
        fairQueue.close();
        running.stop();
        waiting.stop();
        assertEquals(running.codes, List.of(ResultCode.SIDE_LOST.number()));
        assertEquals(waiting.codes, List.of(ResultCode.PROCESS_STOPPING.number()));
        assertEquals(calls.size(), 1);
    }

    /** Guards against runs that wait at a side that stops and are lost as if they might have run. */
    @Test
    public void waitingRunsDidNotRunAtTheEndOfAStop() {
        startOnEngine();
        RecordedAnswer running = answer;
        answer = new RecordedAnswer();
        startOnEngine();
        RecordedAnswer waiting = answer;
        answer = new RecordedAnswer();
        startOnService();
        RecordedAnswer alsoWaiting = answer;
        waiting.stop();
        alsoWaiting.stop();
        running.stop();
        assertEquals(waiting.codes, List.of(ResultCode.PROCESS_STOPPING.number()));
        assertEquals(alsoWaiting.codes, List.of(ResultCode.PROCESS_STOPPING.number()));
        assertEquals(running.codes, List.of(ResultCode.SIDE_LOST.number()));
        assertEquals(queue.running(), 0);
    }

    /** Guards against a run that starts after a stop has told that it did not run. */
    @Test
    public void runWhoseIntentIsReadAfterTheEndOfAStopIsNotStarted() {
        CompletableFuture<IntentDecision> decision = new CompletableFuture<>();
        ledger.decision = () -> decision;
        List<String> calls = new ArrayList<>();
        service.onCall = a -> calls.add("call");
        startOnService();
        answer.stop();
        assertEquals(answer.codes, List.of(ResultCode.PROCESS_STOPPING.number()));
        decision.complete(new IntentDecision.Run("attempt-1"));
        assertEquals(calls, List.of());
        assertEquals(ledger.cancelled, List.of("attempt-1"), "keys that are free again");
    }

    /** Guards against an earlier answer that goes to the holder of a key that was withdrawn while the run waited. */
    @Test
    public void recordedOutcomeIsNotGivenOutAfterTheKeyWasWithdrawn() {
        CompletableFuture<IntentDecision> decision = new CompletableFuture<>();
        ledger.decision = () -> decision;
        List<Refusal> refusals = new ArrayList<>();
        gate = new SideGate(List.of(), List.of(start -> refusals.stream().findFirst()), List.of());
        startOnService();
        refusals.add(Refusal.of(ResultCode.KEY_WITHDRAWN));
        decision.complete(new IntentDecision.Recorded(Outcome.getDefaultInstance()));
        assertEquals(answer.codes, List.of(ResultCode.KEY_WITHDRAWN.number()));
        assertEquals(queue.running(), 0, "places that are taken for ever");
    }

    /** Guards against a request that runs on another service, since its entry knew another one behind the side. */
    @Test
    public void requestForAnotherServiceIsRefusedAsNotRun() {
        List<String> calls = new ArrayList<>();
        service.onCall = a -> calls.add("call");
        serviceName = "billing";
        startOnService();
        assertEquals(answer.codes, List.of(ResultCode.NO_UPSTREAM.number()));
        assertEquals(calls, List.of());
    }

    private static <T> T fault() {
        throw new IllegalStateException("a fault of the test");
    }

    private static UpstreamException lost() {
        return new UpstreamException(ResultCode.UPSTREAM_LOST, "test", Location.of(UPSTREAM));
    }

    // Runs

    private void startOnEngine() {
        CrashSuspects known = new CrashSuspects(Duration.ofMinutes(1), Duration.ofMinutes(1));
        CrashNotices notices = new CrashNotices(
                known, new FakeSides(), scheduler, scheduler, List::of, id -> Optional.empty(), notice -> {});
        CrashWatch crashes =
                new CrashWatch(engine, (incarnation, requests) -> crashListener.onCrash(incarnation, requests));
        crashes.onState(engine.state().join());
        EngineContext context = new EngineContext(
                UPSTREAM,
                engine,
                slots,
                queue,
                gate,
                crashes,
                new SuspectRules(known, notices, scheduler),
                new RecentPrefixes(),
                scheduler,
                new MetricRegistry());
        Start start = Start.newBuilder()
                .setAccountId("a")
                .setWeight(1)
                .setDeadlineMillis(30_000)
                .setAdapter(AdapterTarget.newBuilder().setAdapterId("x").setVersion("1"))
                .build();
        RunExecutor.ofEngine(context).start(nextId(), start, answer);
    }

    private void startOnService() {
        ServiceContext context = new ServiceContext(
                UPSTREAM, serviceName, service, queue, gate, ledger, scheduler, new MetricRegistry());
        Start start = Start.newBuilder()
                .setAccountId("a")
                .setWeight(1)
                .setDeadlineMillis(30_000)
                .setService(ServiceTarget.newBuilder().setService("orders").setMethod("POST"))
                .build();
        RunExecutor.ofService(context).start(nextId(), start, answer);
    }

    private RunId nextId() {
        return RunId.newBuilder().setIncarnation(1).setSequence(++sequence).build();
    }

    /** Records the end of one run. */
    private static final class RecordedAnswer implements RunAnswer {
        private final List<Integer> codes = new ArrayList<>();
        private final List<Runnable> stops = new ArrayList<>();

        void stop() {
            List.copyOf(stops).forEach(Runnable::run);
        }

        @Override
        public void head(AnswerHead head) {}

        @Override
        public void chunk(ByteString data, int tokens) {}

        @Override
        public void end(AnswerEnd.Builder end) {
            codes.add(end.getCode());
        }

        @Override
        public void onCancel(Runnable action) {}

        @Override
        public void onStop(Runnable action) {
            stops.add(action);
        }
    }

    /** An engine that does what a test says. */
    private static final class ScriptedEngine implements ModelEngine {
        private java.util.function.Consumer<EngineAnswer> onRun = a -> {};
        private java.util.function.Consumer<EngineAnswer> onResume = a -> {};
        private String incarnation = "before";

        @Override
        public CompletableFuture<EngineState> state() {
            return CompletableFuture.completedFuture(new EngineState(incarnation, "base", 1, 1, Set.of(), 0, 0));
        }

        @Override
        public CompletableFuture<Void> load(AdapterVersion adapter, long fencingNumber) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> unload(AdapterVersion adapter, long fencingNumber) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public EngineHandle run(EngineRun run, EngineAnswer answer) {
            onRun.accept(answer);
            return () -> {};
        }

        @Override
        public EngineHandle resume(String runId, long fromToken, EngineAnswer answer) {
            onResume.accept(answer);
            return () -> {};
        }

        @Override
        public CompletableFuture<Void> cancel(String runId) {
            return CompletableFuture.completedFuture(null);
        }
    }

    /** A service that does what a test says. */
    private static final class ScriptedService implements PlainService {
        private java.util.function.Consumer<ServiceAnswer> onCall = a -> {};

        @Override
        public CompletableFuture<Void> check() {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void call(ServiceRequest request, ServiceAnswer answer) {
            onCall.accept(answer);
        }
    }

    /** A ledger that does what a test says. */
    private static final class ScriptedLedger implements IntentLedger {
        private java.util.function.Supplier<CompletableFuture<IntentDecision>> decision =
                () -> CompletableFuture.completedFuture(new IntentDecision.Run("attempt-1"));
        private final List<String> cancelled = new ArrayList<>();
        private boolean completes = true;

        @Override
        public CompletableFuture<IntentDecision> begin(IntentRequest request) {
            return decision.get();
        }

        @Override
        public CompletableFuture<Void> complete(String service, Outcome outcome) {
            return completes ? CompletableFuture.completedFuture(null) : fault();
        }

        @Override
        public void cancel(IntentRequest request, String attemptId) {
            cancelled.add(attemptId);
        }

        @Override
        public void abandon(IntentRequest request, String attemptId) {}
    }

    /** A pin of a slot that is never filled anew. */
    private static class FreePin implements Pin {
        @Override
        public long generation() {
            return 1;
        }

        @Override
        public boolean isCurrent() {
            return true;
        }

        @Override
        public void release() {}
    }

    /** A pin that cannot be released. */
    private static final class BrokenPin extends FreePin {
        @Override
        public void release() {
            fault();
        }
    }
}
