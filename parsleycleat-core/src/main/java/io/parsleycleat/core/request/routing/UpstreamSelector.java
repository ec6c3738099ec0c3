package io.parsleycleat.core.request.routing;

import io.parsleycleat.core.process.result.Refusal;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/**
 * Chooses the upstream that a request runs on.
 *
 * <p>One an entry; implementations are safe to share between threads.
 */
public interface UpstreamSelector {
    /** Chooses an upstream, or says why there is none and when to come back. */
    CompletableFuture<Either<Refusal, Selection>> select(SelectionRequest request);
}
