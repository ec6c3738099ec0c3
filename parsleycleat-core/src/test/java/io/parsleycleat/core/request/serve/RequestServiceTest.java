package io.parsleycleat.core.request.serve;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.connection.peer.FakeSides;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.connection.run.RunClient;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.limits.Reservation;
import io.parsleycleat.core.process.limits.TokenLimiter;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.outcome.CrashNotices;
import io.parsleycleat.core.request.outcome.CrashSuspects;
import io.parsleycleat.core.request.routing.Selection;
import io.parsleycleat.core.request.routing.UpstreamSelector;
import io.parsleycleat.core.request.trace.TraceStore;
import io.parsleycleat.core.version.configuration.ConfigurationState;
import io.parsleycleat.core.version.configuration.FixedConfiguration;
import io.parsleycleat.core.version.configuration.VirtualScheduler;
import io.parsleycleat.core.version.configuration.keys.CutOffMonitor;
import io.parsleycleat.core.version.configuration.keys.CutOffPolicy;
import io.parsleycleat.core.version.configuration.keys.KeyGate;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import io.parsleycleat.wire.run.RunMessage;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RequestServiceTest {
    private static final String ACCOUNT = "guests";
    private static final String SIDE = "side-1";
    private static final Duration START_DEADLINE = Duration.ofSeconds(30);
    private static final Duration MAX_ANSWER = Duration.ofMinutes(10);

    private VirtualScheduler scheduler;
    private FakeSides sides;
    private List<Double> settled;
    private TokenLimiter limiter;
    private UpstreamSelector selector;
    private RecordedExchange exchange;
    private RequestService service;

    @BeforeMethod
    public void prepare() {
        scheduler = new VirtualScheduler();
        sides = new FakeSides();
        settled = new ArrayList<>();
        exchange = new RecordedExchange();
        limiter = (account, tokens) -> CompletableFuture.completedFuture(Either.right(reservation()));
        selector = request -> CompletableFuture.completedFuture(
                Either.right(new Selection(new Vm(SIDE, ProcessRole.SIDE, SIDE, "dc", "r", SIDE, false), "test")));
        sides.add(SIDE, completing("whole"));
    }

    // Actions that throw

    /** Where something throws, and the statuses that the caller may get then. */
    private record Fault(String place, BiConsumer<RequestServiceTest, RuntimeException> put) {
        @Override
        public String toString() {
            return place;
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                new Fault(
                        "the limiter",
                        (t, e) -> t.limiter = (account, tokens) -> {
                            throw e;
                        })
            },
            {
                new Fault(
                        "the limiter's answer",
                        (t, e) -> t.limiter = (account, tokens) -> CompletableFuture.failedFuture(e))
            },
            {
                new Fault(
                        "the reservation",
                        (t, e) -> t.limiter =
                                (account, tokens) -> CompletableFuture.completedFuture(Either.right(t.broken(e))))
            },
            {
                new Fault(
                        "the choice of an upstream",
                        (t, e) -> t.selector = request -> {
                            throw e;
                        })
            },
            {new Fault("the choice's answer", (t, e) -> t.selector = request -> CompletableFuture.failedFuture(e))},
            {
                new Fault(
                        "the start at the side",
                        (t, e) -> t.sides.add(SIDE, (message, channel) -> {
                            throw e;
                        }))
            },
            {
                new Fault(
                        "the settlement",
                        (t, e) -> t.limiter =
                                (account, tokens) -> CompletableFuture.completedFuture(Either.right(t.unsettled(e))))
            },
            {
                new Fault(
                        "the first part of the answer",
                        (t, e) -> t.exchange.onStart = () -> {
                            throw e;
                        })
            },
        };
    }

    /** Guards against a request that nobody answers since something threw between its last byte and its answer. */
    @Test(dataProvider = "faults")
    public void requestIsAnsweredWhateverThrows(Fault fault) {
        fault.put().accept(this, new IllegalStateException("a fault of the test"));
        serve("GET");
        scheduler.advance(START_DEADLINE.toMillis());
        assertTrue(exchange.status() >= 500 || exchange.aborted || exchange.isWhole(), "no answer: " + exchange);
        assertEquals(service.openRequests(), 0, "requests that are still open");
    }

    /** Guards against a whole answer that is lost since its tokens could not be given back. */
    @Test
    public void settlementThatFailsDoesNotCostTheAnswer() {
        limiter = (account, tokens) ->
                CompletableFuture.completedFuture(Either.right(unsettled(new IllegalStateException("a fault"))));
        serve("GET");
        assertTrue(exchange.isWhole(), exchange.toString());
    }

    // Waits

    /** Guards against a request that waits for its account's tokens without end. */
    @Test
    public void waitForTokensEndsWithTheStartDeadline() {
        CompletableFuture<Either<Refusal, Reservation>> tokens = new CompletableFuture<>();
        limiter = (account, wanted) -> tokens;
        serve("GET");
        scheduler.advance(START_DEADLINE.toMillis() - 1);
        assertEquals(exchange.status(), 0, "answered before the deadline");
        scheduler.advance(1);
        assertEquals(exchange.code(), ResultCode.LIMIT_UNAVAILABLE.number());
        assertEquals(service.openRequests(), 0);
        tokens.complete(Either.right(reservation()));
        assertEquals(settled, List.of(0.0), "tokens that came too late are given back");
        assertEquals(sides.sent(), List.of());
    }

    /** Guards against a deadline that begins only after the wait for tokens. */
    @Test
    public void waitForTokensCountsTowardsTheStartDeadline() {
        CompletableFuture<Either<Refusal, Reservation>> tokens = new CompletableFuture<>();
        limiter = (account, wanted) -> tokens;
        sides.add(SIDE, (message, channel) -> {});
        serve("GET");
        scheduler.advance(START_DEADLINE.toMillis() / 2);
        tokens.complete(Either.right(reservation()));
        assertEquals(sides.sent().get(0).getStart().getDeadlineMillis(), START_DEADLINE.toMillis() / 2);
    }

    /** Guards against a request that waits for an upstream, or for new tokens, without end. */
    @Test
    public void choiceOfAnUpstreamEndsWithTheStartDeadline() {
        CompletableFuture<Either<Refusal, Selection>> choice = new CompletableFuture<>();
        selector = request -> choice;
        serve("GET");
        scheduler.advance(START_DEADLINE.toMillis() - 1);
        assertEquals(exchange.status(), 0, "answered before the deadline");
        scheduler.advance(1);
        assertEquals(exchange.code(), ResultCode.DEADLINE_UNREACHABLE.number());
        assertEquals(service.openRequests(), 0);
        choice.complete(
                Either.right(new Selection(new Vm(SIDE, ProcessRole.SIDE, SIDE, "dc", "r", SIDE, false), "test")));
        assertEquals(sides.sent(), List.of(), "runs after it was told that it did not");
    }

    /** Guards against a started request that is ended by the deadline for its start. */
    @Test
    public void startedRequestIsNotEndedByTheStartDeadline() {
        sides.add(SIDE, (message, channel) -> {});
        serve("GET");
        scheduler.advance(START_DEADLINE.toMillis() * 2);
        assertEquals(exchange.status(), 0);
        assertEquals(service.openRequests(), 1);
    }

    // The stop

    /** Guards against a stop that ends with a request that waits for tokens and is told nothing. */
    @Test
    public void requestThatWaitsForTokensDidNotRunAtTheEndOfAStop() {
        limiter = (account, wanted) -> new CompletableFuture<>();
        serve("GET");
        service.stop();
        assertEquals(service.endOpenRequests(), 1);
        assertEquals(exchange.code(), ResultCode.PROCESS_STOPPING.number());
        assertEquals(service.openRequests(), 0);
    }

    /** Guards against a stop that ends with a request that waits for an upstream and is told nothing. */
    @Test
    public void requestThatWaitsForAnUpstreamDidNotRunAtTheEndOfAStop() {
        CompletableFuture<Either<Refusal, Selection>> choice = new CompletableFuture<>();
        selector = request -> choice;
        serve("GET");
        service.stop();
        service.endOpenRequests();
        assertEquals(exchange.code(), ResultCode.PROCESS_STOPPING.number());
        choice.complete(
                Either.right(new Selection(new Vm(SIDE, ProcessRole.SIDE, SIDE, "dc", "r", SIDE, false), "test")));
        assertEquals(sides.sent(), List.of(), "runs after it was told that it did not");
    }

    /** Guards against a stop that ends with a request that may have run and is told nothing, or a wrong thing. */
    @Test
    public void requestThatMayHaveRunIsToldSoAtTheEndOfAStop() {
        sides.add(SIDE, (message, channel) -> {});
        serve("GET");
        service.stop();
        service.endOpenRequests();
        assertEquals(exchange.status(), 504);
        assertEquals(service.openRequests(), 0);
        assertTrue(sides.sent().stream().anyMatch(RunMessage::hasCancel), "the side is told");
    }

    /** Guards against an answer that looks whole although a stop cut it. */
    @Test
    public void answerThatHasBegunIsCutAtTheEndOfAStop() {
        sides.add(SIDE, (message, channel) -> {
            if (message.hasStart()) {
                channel.answer(head(message));
                channel.answer(chunk(message, "part"));
            }
        });
        serve("GET");
        service.stop();
        service.endOpenRequests();
        assertEquals(exchange.text.toString(), "part");
        assertTrue(exchange.aborted, "the caller sees that the answer is not whole");
        assertEquals(service.openRequests(), 0);
    }

    @Test
    public void requestIsAnsweredWithTheWholeAnswer() {
        serve("GET");
        assertTrue(exchange.isWhole(), exchange.toString());
        assertEquals(exchange.text.toString(), "whole");
        assertEquals(settled, List.of(1.0));
        assertEquals(service.openRequests(), 0);
    }

    // The service

    private void serve(String method) {
        RunContext runs = new RunContext(
                request -> selector.select(request),
                new RunClient(sides, sides, scheduler, 1),
                new RetryBudget(1),
                suspects(),
                scheduler,
                scheduler,
                MAX_ANSWER);
        FixedConfiguration configuration = new FixedConfiguration(configuration());
        Membership nobody = new Membership(() -> CompletableFuture.completedFuture(List.of()), scheduler);
        CutOffMonitor monitor = new CutOffMonitor(scheduler, nobody, "dc", Duration.ofMinutes(1));
        EntryContext context = new EntryContext(
                configuration,
                new KeyGate(configuration, monitor, CutOffPolicy.values()[0]),
                (account, tokens) -> limiter.reserve(account, tokens),
                runs,
                new FreeTierGate(1),
                new TraceStore(scheduler),
                new MetricRegistry(),
                START_DEADLINE,
                Duration.ofHours(1));
        service = new RequestService(context, 100);
        service.handle(new CallerRequest(method, "/services/orders/a", List.of(), ByteString.EMPTY), exchange);
    }

    private SuspectRouting suspects() {
        CrashSuspects known = new CrashSuspects(Duration.ofMinutes(1), Duration.ofMinutes(1));
        CrashNotices notices =
                new CrashNotices(known, sides, scheduler, scheduler, List::of, id -> Optional.empty(), notice -> {});
        Membership nobody = new Membership(() -> CompletableFuture.completedFuture(List.of()), scheduler);
        return new SuspectRouting(known, notices, nobody, FixedConfiguration.EMPTY, scheduler);
    }

    private static ConfigurationState configuration() {
        Change account = Change.newBuilder()
                .setChangeId("c1")
                .setKind(ItemKind.ITEM_KIND_ACCOUNT)
                .setItemId(ACCOUNT)
                .setAccount(Account.newBuilder()
                        .setId(ACCOUNT)
                        .setTokensPerSecond(10)
                        .setBurstTokens(10)
                        .setWeight(1)
                        .setFreeTier(true))
                .build();
        Change route = Change.newBuilder()
                .setChangeId("c2")
                .setKind(ItemKind.ITEM_KIND_ROUTE)
                .setItemId("orders")
                .setRoute(Route.newBuilder()
                        .setId("orders")
                        .setService("orders")
                        .setOpenToAll(true)
                        .setUnkeyedAccountId(ACCOUNT))
                .build();
        return ConfigurationState.EMPTY
                .apply(0, ConfigurationRecord.newBuilder().setChange(account).build())
                .apply(1, ConfigurationRecord.newBuilder().setChange(route).build());
    }

    private Reservation reservation() {
        return new Reservation() {
            @Override
            public long epoch() {
                return 1;
            }

            @Override
            public void settle(double usedTokens) {
                settled.add(usedTokens);
            }
        };
    }

    private Reservation broken(RuntimeException failure) {
        return new Reservation() {
            @Override
            public long epoch() {
                throw failure;
            }

            @Override
            public void settle(double usedTokens) {
                settled.add(usedTokens);
            }
        };
    }

    private Reservation unsettled(RuntimeException failure) {
        return new Reservation() {
            @Override
            public long epoch() {
                return 1;
            }

            @Override
            public void settle(double usedTokens) {
                throw failure;
            }
        };
    }

    private static BiConsumer<RunMessage, FakeSides.Channel> completing(String text) {
        return (message, channel) -> {
            if (message.hasStart()) {
                channel.answer(head(message));
                channel.answer(chunk(message, text));
                channel.answer(RunMessage.newBuilder()
                        .setRunId(message.getRunId())
                        .setEnd(AnswerEnd.newBuilder().setChunkCount(1))
                        .build());
            }
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

    /** Records what a caller gets. */
    private static final class RecordedExchange implements CallerExchange {
        private final StringBuilder text = new StringBuilder();
        private final List<Integer> statuses = new ArrayList<>();
        private Runnable onStart = () -> {};
        private boolean ended;
        private boolean aborted;

        int status() {
            return statuses.isEmpty() ? 0 : statuses.get(0);
        }

        int code() {
            String body = text.toString();
            int from = body.indexOf("\"code\":") + "\"code\":".length();
            return Integer.parseInt(body.substring(from, body.indexOf(',', from)));
        }

        boolean isWhole() {
            return ended && !aborted && status() == 200;
        }

        @Override
        public void respond(int status, List<Map.Entry<String, String>> headers, ByteString body) {
            if (statuses.isEmpty()) {
                statuses.add(status);
                text.append(body.toStringUtf8());
                ended = true;
            }
        }

        @Override
        public void start(int status, List<Map.Entry<String, String>> headers) {
            onStart.run();
            statuses.add(status);
        }

        @Override
        public void write(ByteString part, Runnable written) {
            text.append(part.toStringUtf8());
            written.run();
        }

        @Override
        public void end() {
            ended = true;
        }

        @Override
        public void abort() {
            aborted = true;
        }

        @Override
        public void onGone(Runnable action) {}

        @Override
        public String toString() {
            return "statuses " + statuses + " text " + text + " ended " + ended + " aborted " + aborted;
        }
    }
}
