package io.parsleycleat.core.request.serve;

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
import io.parsleycleat.core.request.routing.SelectionRequest;
import io.parsleycleat.core.request.routing.UpstreamSelector;
import io.parsleycleat.core.request.trace.TraceStore;
import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.core.version.configuration.ConfigurationState;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.core.version.configuration.VirtualScheduler;
import io.parsleycleat.core.version.configuration.keys.CutOffMonitor;
import io.parsleycleat.core.version.configuration.keys.CutOffPolicy;
import io.parsleycleat.core.version.configuration.keys.KeyFormat;
import io.parsleycleat.core.version.configuration.keys.KeyGate;
import io.parsleycleat.core.version.configuration.keys.Keys;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.IdempotencyRule;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Snapshot;
import io.parsleycleat.wire.configuration.VersionedItem;
import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import io.parsleycleat.wire.run.RunMessage;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** An entry whose configuration, sides, tokens and choices a test holds in its hands. Used by one thread. */
final class EntryFixture implements ConfigurationSource {
    static final Duration START_DEADLINE = Duration.ofSeconds(30);
    static final Duration MAX_ANSWER = Duration.ofMinutes(10);
    static final List<String> SIDES = List.of("side-1", "side-2");
    private static final KeyFormat KEY = Keys.newKey("k1");

    final VirtualScheduler scheduler = new VirtualScheduler();
    final FakeSides sides = new FakeSides();
    final List<Double> settled = new ArrayList<>();
    private final Map<String, VersionedItem> items = new LinkedHashMap<>();
    private final Set<String> withdrawn = new LinkedHashSet<>();
    TokenLimiter limiter = (account, tokens) -> granted();
    UpstreamSelector selector = request -> CompletableFuture.completedFuture(firstAllowed(request));
    private ConfigurationView view = ConfigurationState.EMPTY;
    private long version;
    RequestService service;

    /** Creates an entry that grants so many retries for each request. */
    EntryFixture(double retriesPerRequest) {
        put(Account.newBuilder()
                .setId("one")
                .setTokensPerSecond(100)
                .setBurstTokens(10_000)
                .setWeight(1)
                .build());
        put(
                ItemKind.ITEM_KIND_KEY,
                "k1",
                item -> item.setKey(
                        Key.newBuilder().setId("k1").setAccountId("one").setSecretHash(Keys.hash(KEY))));
        put(route(IdempotencyRule.IDEMPOTENCY_RULE_SAFE_METHODS).build());
        put(Adapter.newBuilder()
                .setId("tuned")
                .setBaseModel("base")
                .addVersions("1")
                .addVersions("2")
                .setCurrentVersion("1")
                .build());
        service = new RequestService(context(retriesPerRequest), 100);
    }

    private EntryContext context(double retriesPerRequest) {
        RunContext runs = new RunContext(
                request -> selector.select(request),
                new RunClient(sides, sides, scheduler, 1),
                new RetryBudget(retriesPerRequest),
                suspects(),
                scheduler,
                scheduler,
                MAX_ANSWER);
        Membership nobody = new Membership(() -> CompletableFuture.completedFuture(List.of()), scheduler);
        CutOffMonitor monitor = new CutOffMonitor(scheduler, nobody, "dc", Duration.ofDays(1));
        return new EntryContext(
                this,
                new KeyGate(this, monitor, CutOffPolicy.values()[0]),
                (account, tokens) -> limiter.reserve(account, tokens),
                runs,
                new FreeTierGate(1),
                new TraceStore(scheduler),
                new MetricRegistry(),
                START_DEADLINE,
                Duration.ofHours(1));
    }

    private SuspectRouting suspects() {
        CrashSuspects known = new CrashSuspects(Duration.ofMinutes(1), Duration.ofMinutes(1));
        CrashNotices notices =
                new CrashNotices(known, sides, scheduler, scheduler, List::of, id -> Optional.empty(), notice -> {});
        Membership nobody = new Membership(() -> CompletableFuture.completedFuture(List.of()), scheduler);
        return new SuspectRouting(known, notices, nobody, this, scheduler);
    }

    // Configuration

    @Override
    public ConfigurationView current() {
        return view;
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void onChange(Consumer<ConfigurationView> listener) {
        listener.accept(view);
    }

    static Route.Builder route(IdempotencyRule rule) {
        return Route.newBuilder().setId("orders").setService("orders").setIdempotency(rule);
    }

    void put(Account account) {
        put(ItemKind.ITEM_KIND_ACCOUNT, account.getId(), item -> item.setAccount(account));
    }

    void put(Route route) {
        put(ItemKind.ITEM_KIND_ROUTE, route.getId(), item -> item.setRoute(route));
    }

    void put(Adapter adapter) {
        put(ItemKind.ITEM_KIND_ADAPTER, adapter.getId(), item -> item.setAdapter(adapter));
    }

    private void put(ItemKind kind, String id, Consumer<VersionedItem.Builder> content) {
        VersionedItem.Builder item =
                VersionedItem.newBuilder().setKind(kind).setId(id).setVersion(version + 1);
        content.accept(item);
        items.put(kind + id, item.build());
        publish();
    }

    void remove(ItemKind kind, String id) {
        items.remove(kind + id);
        publish();
    }

    void withdrawKey() {
        withdrawn.add("k1");
        publish();
    }

    private void publish() {
        version++;
        view = ConfigurationState.of(Snapshot.newBuilder()
                .setNextOffset(version)
                .addAllItems(items.values())
                .addAllWithdrawnKeyIds(withdrawn)
                .build());
    }

    // Requests

    RecordedExchange get() {
        return send("GET", "/services/orders/a", "");
    }

    /** Sends a request that may not be repeated unless its route says otherwise. */
    RecordedExchange post() {
        return send("POST", "/services/orders/a", "");
    }

    RecordedExchange complete(boolean streamed) {
        String body = "{\"model\":\"tuned\",\"prompt\":\"p\",\"max_tokens\":5,\"stream\":" + streamed + "}";
        return send("POST", "/v1/completions", body);
    }

    private RecordedExchange send(String method, String path, String body) {
        RecordedExchange exchange = new RecordedExchange();
        List<Map.Entry<String, String>> headers = List.of(
                Map.entry("authorization", "Bearer " + KEY.text()),
                Map.entry("idempotency-key", new UUID(scheduler.wallMillis() << 16 | 0x7000, 1L << 63).toString()));
        service.handle(new CallerRequest(method, path, headers, ByteString.copyFromUtf8(body)), exchange);
        return exchange;
    }

    // Tokens, choices and sides

    CompletableFuture<Either<Refusal, Reservation>> granted() {
        Reservation reservation = new Reservation() {
            @Override
            public long epoch() {
                return 1;
            }

            @Override
            public void settle(double usedTokens) {
                settled.add(usedTokens);
            }
        };
        return CompletableFuture.completedFuture(Either.right(reservation));
    }

    static Either<Refusal, Selection> firstAllowed(SelectionRequest request) {
        return SIDES.stream()
                .filter(side -> !request.excludedUpstreams().contains(side))
                .findFirst()
                .<Either<Refusal, Selection>>map(side -> Either.right(
                        new Selection(new Vm(side, ProcessRole.SIDE, side, "dc", "r", side, false), "test")))
                .orElseGet(() -> Either.left(Refusal.of(ResultCode.NO_UPSTREAM)));
    }

    /** Returns the starts that were sent to sides. */
    List<RunMessage> starts() {
        return sides.sent().stream().filter(RunMessage::hasStart).toList();
    }

    static void begin(RunMessage start, FakeSides.Channel channel) {
        channel.answer(message(start)
                .setHead(AnswerHead.newBuilder().setStatus(200).setUpstreamId("u"))
                .build());
        channel.answer(message(start)
                .setChunk(AnswerChunk.newBuilder().setTokens(1).setData(ByteString.copyFromUtf8("first")))
                .build());
    }

    /** Ends an answer that has so many parts. */
    static void end(RunMessage start, FakeSides.Channel channel, ResultCode code, int parts) {
        channel.answer(message(start)
                .setEnd(AnswerEnd.newBuilder().setCode(code.number()).setChunkCount(parts))
                .build());
    }

    static void serve(RunMessage start, FakeSides.Channel channel) {
        begin(start, channel);
        end(start, channel, ResultCode.DONE, 1);
    }

    private static RunMessage.Builder message(RunMessage start) {
        return RunMessage.newBuilder().setRunId(start.getRunId());
    }

    /** Records what a caller gets. */
    static final class RecordedExchange implements CallerExchange {
        private final StringBuilder text = new StringBuilder();
        private final List<Runnable> goneActions = new ArrayList<>();
        private int status;
        private int ends;
        private int starts;
        private boolean aborted;

        void leave() {
            List.copyOf(goneActions).forEach(Runnable::run);
        }

        /** Returns the code of a refusal or an error, 0 for a whole answer. */
        int code() {
            String body = text.toString();
            int at = body.indexOf("\"code\":");
            return at < 0 ? 0 : Integer.parseInt(body.substring(at + "\"code\":".length(), body.indexOf(',', at)));
        }

        int ends() {
            return ends;
        }

        int status() {
            return status;
        }

        boolean isWhole() {
            return ends == 1 && !aborted && status == 200 && starts <= 1 && code() == 0;
        }

        @Override
        public void respond(int newStatus, List<Map.Entry<String, String>> headers, ByteString body) {
            status = newStatus;
            text.append(body.toStringUtf8());
            starts++;
            ends++;
        }

        @Override
        public void start(int newStatus, List<Map.Entry<String, String>> headers) {
            status = newStatus;
            starts++;
        }

        @Override
        public void write(ByteString part, Runnable written) {
            text.append(part.toStringUtf8());
            written.run();
        }

        @Override
        public void end() {
            ends++;
        }

        @Override
        public void abort() {
            aborted = true;
            ends++;
        }

        @Override
        public void onGone(Runnable action) {
            goneActions.add(action);
        }

        @Override
        public String toString() {
            return Stream.of("status " + status, "ends " + ends, "starts " + starts, "aborted " + aborted, text)
                    .map(String::valueOf)
                    .reduce((a, b) -> a + ", " + b)
                    .orElse("");
        }
    }
}
