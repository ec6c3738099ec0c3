package io.parsleycleat.core.request.serve;

import com.codahale.metrics.Timer;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.connection.upstream.AdapterVersion;
import io.parsleycleat.core.process.limits.TokenCost;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.routing.SelectionRequest;
import io.parsleycleat.core.request.trace.RequestTrace;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.core.version.configuration.keys.AccessRules;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.run.AdapterTarget;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.Start;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Serves completions on adapters.
 *
 * <p>Created once an entry; safe to share between threads.
 */
final class CompletionFlow {
    private final EntryContext context;
    private final CompletionParser parser;

    CompletionFlow(EntryContext context, CompletionParser parser) {
        this.context = context;
        this.parser = parser;
    }

    /** Serves one request. */
    void handle(CallerRequest request, OpenRequest exchange, RequestTrace trace, boolean chat) {
        context.authenticate(request)
                .flatMap(key -> parser.parse(chat, request.body()).flatMap(call -> plan(key, call)))
                .peekLeft(refusal -> context.refuse(exchange, trace, refusal))
                .peek(plan -> admit(plan, exchange, trace));
    }

    /** What is known of a completion once its caller and adapter are. */
    private record Plan(RequestConfiguration configuration, Adapter adapter, String version, CompletionCall call) {
        AdapterVersion adapterVersion() {
            return new AdapterVersion(adapter.getId(), version);
        }
    }

    private Either<Refusal, Plan> plan(Optional<Key> key, CompletionCall call) {
        ConfigurationView view = context.configuration().current();
        return AccessRules.adapter(view, key.orElse(null), call.adapterId()).flatMap(access -> AccessRules.version(
                        access.target(), call.version())
                .map(version -> new Plan(configuration(access.account(), key), access.target(), version, call)));
    }

    private RequestConfiguration configuration(Account account, Optional<Key> key) {
        return new RequestConfiguration(account, key, true, context.keys()::refusal, () -> true);
    }

    private void admit(Plan plan, OpenRequest exchange, RequestTrace trace) {
        trace.add(
                "allowed", "account " + plan.configuration().account().getId() + ", adapter " + plan.adapterVersion());
        context.admit(
                exchange,
                trace,
                plan.configuration().account(),
                plan.call().cost().upperBound(),
                admission -> run(plan, admission, exchange, trace));
    }

    private void run(Plan plan, Admission admission, OpenRequest exchange, RequestTrace trace) {
        String model = plan.adapterVersion().label();
        CompletionAnswer writer = new CompletionAnswer(
                trace.requestId(),
                plan.call().chat(),
                model,
                TimeUnit.MILLISECONDS.toSeconds(context.runContext().time().wallMillis()));
        Timer.Context timer = context.metrics().timer("entry.completions").time();
        CompletionSink sink = new CompletionSink(
                exchange, trace.requestId(), model, plan.call().streamed(), writer, (end, tokens) -> {
                    timer.stop();
                    context.count(end.getCode());
                    admission.end(usedTokens(plan, end, tokens));
                });
        RequestRun run = new RequestRun(
                context.runContext(),
                plan.configuration(),
                start(plan, admission, trace),
                admission::renew,
                selection(plan, context.remaining(exchange)),
                trace,
                sink);
        exchange.onGone(run::cancel);
        exchange.onStop(run::stop);
        run.start();
    }

    private Start start(Plan plan, Admission admission, RequestTrace trace) {
        CompletionCall call = plan.call();
        return plan.configuration()
                .start()
                .setRequestId(trace.requestId())
                .setAdapter(AdapterTarget.newBuilder()
                        .setAdapterId(plan.adapter().getId())
                        .setVersion(plan.version())
                        .setBaseModel(plan.adapter().getBaseModel())
                        .setPromptTokens(call.cost().promptTokens())
                        .setMaxTokens(call.cost().maxTokens())
                        .setPrefixHash(call.prefixHash())
                        .setChat(call.chat()))
                .setBody(call.body())
                .setFingerprint(Fingerprints.of(
                        plan.configuration().account().getId(),
                        plan.adapterVersion().label(),
                        call.body()))
                .setEscrowEpoch(admission.epoch())
                .build();
    }

    private static SelectionRequest selection(Plan plan, Duration deadline) {
        return new SelectionRequest(
                plan.configuration().account().getId(),
                plan.configuration().account().getFreeTier(),
                plan.adapterVersion(),
                plan.adapter().getBaseModel(),
                "",
                plan.call().prefixHash(),
                "",
                Set.of(),
                deadline);
    }

    private static double usedTokens(Plan plan, AnswerEnd end, int tokens) {
        boolean notRun =
                ResultCode.ofNumber(end.getCode()).map(ResultCode::isNotRun).orElse(false);
        TokenCost cost = plan.call().cost();
        int prompt = end.getPromptTokens() > 0 ? end.getPromptTokens() : cost.promptTokens();
        return notRun ? 0 : cost.used(prompt, Math.max(tokens, end.getGeneratedTokens()));
    }
}
