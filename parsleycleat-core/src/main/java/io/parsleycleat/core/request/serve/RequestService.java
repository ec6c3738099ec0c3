package io.parsleycleat.core.request.serve;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.connection.caller.CallerService;
import io.parsleycleat.core.connection.caller.ErrorAnswer;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.trace.RequestTrace;
import io.parsleycleat.core.version.configuration.keys.AccessRules;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.operators.ExplainEvent;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Answers callers: finds out what a request is for and passes it to the flow that serves it.
 *
 * <p>Created once an entry; safe to share between threads.
 */
public final class RequestService implements CallerService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Bounds the log lines of one stop. */
    private static final int MAX_LOGGED = 200;

    private static final String COMPLETIONS = "/v1/completions";
    private static final String CHAT_COMPLETIONS = "/v1/chat/completions";
    private static final String MODELS = "/v1/models";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int STATUS_OK = 200;
    private static final Duration STOPPING_RETRY = Duration.ofSeconds(1);

    private final EntryContext context;
    private final CompletionFlow completions;
    private final ServiceFlow services;
    private final Set<OpenRequest> open = ConcurrentHashMap.newKeySet();
    private volatile boolean stopping;

    /** Creates a service that refuses completions of more tokens than the limit. */
    public RequestService(EntryContext context, int maxTokensLimit) {
        this.context = context;
        this.completions = new CompletionFlow(context, new CompletionParser(maxTokensLimit));
        this.services = new ServiceFlow(context);
    }

    /** Refuses everything that arrives from now on. */
    public void stop() {
        stopping = true;
    }

    /**
     * Gives each open request its final answer since the process ends, and names them in the log. One that has not
     * started is told that it did not run. Returns how many there were.
     */
    public int endOpenRequests() {
        List<OpenRequest> left = List.copyOf(open);
        left.stream().limit(MAX_LOGGED).forEach(request -> logger.atWarning()
                .with(LogKeys.REQUEST, request.id())
                .log("ended by the stop, %s", request.lastStep()));
        left.forEach(OpenRequest::stop);
        return left.size();
    }

    /** Returns how many requests have no answer yet. */
    public int openRequests() {
        return open.size();
    }

    @Override
    public void handle(CallerRequest request, CallerExchange caller) {
        RequestTrace trace = context.traces().begin(UUID.randomUUID().toString());
        OpenRequest accepted =
                new OpenRequest(caller, trace, context.runContext().time().monotonicNanos(), open::remove);
        open.add(accepted);
        accepted.watch();
        accepted.guard(() -> serve(request, accepted, trace));
    }

    private void serve(CallerRequest request, OpenRequest exchange, RequestTrace trace) {
        if (stopping) {
            context.refuse(
                    exchange, trace, Refusal.of(ResultCode.PROCESS_STOPPING).withRetryAfter(STOPPING_RETRY));
            return;
        }
        String path = request.path();
        trace.add("arrived", request.method() + " " + path);
        if (COMPLETIONS.equals(path) || CHAT_COMPLETIONS.equals(path)) {
            complete(request, exchange, trace, CHAT_COMPLETIONS.equals(path));
        } else if (MODELS.equals(path)) {
            listModels(request, exchange, trace);
        } else if (path.startsWith(ServiceFlow.PATH_PREFIX)) {
            services.handle(request, exchange, trace);
        } else {
            context.refuse(exchange, trace, Refusal.of(ResultCode.ROUTE_UNKNOWN));
        }
    }

    private void complete(CallerRequest request, OpenRequest exchange, RequestTrace trace, boolean chat) {
        if ("POST".equals(request.method())) {
            completions.handle(request, exchange, trace, chat);
        } else {
            context.refuse(exchange, trace, Refusal.of(ResultCode.METHOD_NOT_ALLOWED, "POST is allowed"));
        }
    }

    private void listModels(CallerRequest request, CallerExchange exchange, RequestTrace trace) {
        if (!"GET".equals(request.method())) {
            context.refuse(exchange, trace, Refusal.of(ResultCode.METHOD_NOT_ALLOWED, "GET is allowed"));
            return;
        }
        context.authenticate(request)
                .flatMap(key -> key.<Either<Refusal, Key>>map(Either::right)
                        .orElseGet(() -> Either.left(Refusal.of(ResultCode.KEY_MISSING))))
                .peekLeft(refusal -> context.refuse(exchange, trace, refusal))
                .peek(key -> exchange.respond(
                        STATUS_OK,
                        List.of(ErrorAnswer.JSON_CONTENT),
                        models(AccessRules.adapters(context.configuration().current(), key))));
    }

    private static ByteString models(List<Adapter> adapters) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("object", "list");
        ArrayNode data = root.putArray("data");
        adapters.forEach(adapter -> adapter.getVersionsList().forEach(version -> {
            ObjectNode model = data.addObject();
            model.put("id", adapter.getId() + "@" + version);
            model.put("object", "model");
            model.put("base_model", adapter.getBaseModel());
            model.put("current", version.equals(adapter.getCurrentVersion()));
        }));
        return ByteString.copyFromUtf8(root.toString());
    }

    /** Returns the decisions about a recent request. */
    public Optional<List<ExplainEvent>> explain(String requestId) {
        return context.traces().find(requestId);
    }
}
