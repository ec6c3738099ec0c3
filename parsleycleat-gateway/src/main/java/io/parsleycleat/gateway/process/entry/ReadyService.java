package io.parsleycleat.gateway.process.entry;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.connection.caller.CallerService;
import io.parsleycleat.core.process.admin.Readiness;
import java.util.List;
import java.util.function.Supplier;

/**
 * Answers the load balancer's readiness checks.
 *
 * <p>One per entry; safe to share between threads.
 */
final class ReadyService implements CallerService {
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_UNAVAILABLE = 503;

    private final String path;
    private final Supplier<Readiness> readiness;

    ReadyService(String path, Supplier<Readiness> readiness) {
        this.path = path;
        this.readiness = readiness;
    }

    @Override
    public void handle(CallerRequest request, CallerExchange exchange) {
        if (!request.path().equals(path)) {
            exchange.respond(STATUS_NOT_FOUND, List.of(), ByteString.EMPTY);
            return;
        }
        Readiness now = readiness.get();
        exchange.respond(
                now.ready() ? STATUS_OK : STATUS_UNAVAILABLE, List.of(), ByteString.copyFromUtf8(now.reason()));
    }
}
