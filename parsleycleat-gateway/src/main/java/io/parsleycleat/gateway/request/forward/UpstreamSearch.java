package io.parsleycleat.gateway.request.forward;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.gateway.version.routes.ServiceSpec;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.RunProgress;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Finds an upstream for one send of a request: a model engine whose side grants a start, or an upstream of a plain
 * service.
 *
 * <p>Created by {@link Forwarding} for each search; used on the event loop.
 */
final class UpstreamSearch {
    private final ForwardingContext context;
    private final OpenRequest open;
    private final RequestForwarder.Admitted admitted;
    private final String service;
    private Runnable cancelSearch = () -> {};

    /**
     * An upstream to which the request may be sent now.
     *
     * @param adapterVersion the adapter version that the engine holds; 0 if it is not known
     */
    record Found(Upstream upstream, Attempt.Permission permission, long adapterVersion) {
        /** Returns an unused start to the side that granted it. */
        void giveBack(ForwardingContext context) {
            if (permission.ticket() != 0) {
                context.gateClient().sendProgress(upstream, permission.ticket(), RunProgress.Stage.ENDED);
            }
        }
    }

    /**
     * Creates a search; {@link #start} starts it.
     *
     * @param open owns the request
     */
    UpstreamSearch(ForwardingContext context, OpenRequest open, RequestForwarder.Admitted admitted, String service) {
        this.context = context;
        this.open = open;
        this.admitted = admitted;
        this.service = service;
    }

    /**
     * Starts the search, which reports an upstream or a refusal once, possibly before this method returns.
     *
     * @param excluded ids of the upstreams that are not considered
     */
    void start(Set<String> excluded, Consumer<Found> onFound, Consumer<Refusal> onRefused) {
        AdapterId adapter = admitted.request().adapter();
        Optional<ServiceSpec> spec = admitted.table()
                .service(service)
                .or(() -> context.configuration().current().flatMap(t -> t.service(service)));
        if (adapter != null && spec.isPresent() && spec.get().engine() != null) {
            EngineSearch.Criteria criteria = new EngineSearch.Criteria(
                    admitted.request().id(),
                    adapter,
                    admitted.request().tokens(),
                    admitted.priority(),
                    admitted.route().latencyObjective().minus(open.age()),
                    open.timeLeft());
            startOnEngines(criteria, excluded, onFound, onRefused);
        } else {
            startOnPlainService(excluded, onFound, onRefused);
        }
    }

    /** Cancels the search, after which it reports nothing. */
    void cancel() {
        cancelSearch.run();
    }

    private void startOnEngines(
            EngineSearch.Criteria criteria,
            Set<String> excluded,
            Consumer<Found> onFound,
            Consumer<Refusal> onRefused) {
        EngineSearch search = new EngineSearch(
                context,
                open,
                criteria,
                excluded,
                g -> onFound.accept(new Found(g.engine(), Attempt.Permission.ofTicket(g.ticket()), g.adapterVersion())),
                onRefused);
        cancelSearch = search::cancel;
        search.tryNextEngine(service);
    }

    private void startOnPlainService(Set<String> excluded, Consumer<Found> onFound, Consumer<Refusal> onRefused) {
        PlainUpstreamSearch search = new PlainUpstreamSearch(
                context,
                open,
                service,
                admitted.priority(),
                excluded,
                f -> onFound.accept(new Found(f.upstream(), Attempt.Permission.ofPermit(f.permit()), 0)),
                onRefused);
        cancelSearch = search::cancel;
        search.start();
    }
}
