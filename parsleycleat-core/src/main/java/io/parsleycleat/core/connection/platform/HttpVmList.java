package io.parsleycleat.core.connection.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.result.ResultCode;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.StreamSupport;
import org.asynchttpclient.AsyncHttpClient;

/**
 * The VM list over HTTP, as docs/PLATFORM.md describes it. Rows of roles that are not known are passed over.
 *
 * <p>One a process; safe to share between threads.
 */
public final class HttpVmList implements VmList {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final String PATH = "/vms";

    private final JsonHttp http;

    /** Creates a client of the list at an address. */
    public HttpVmList(AsyncHttpClient http, URI base) {
        this.http = new JsonHttp(http, base, ResultCode.VM_LIST_OUT);
    }

    @Override
    public CompletableFuture<List<Vm>> read() {
        return http.get(PATH, TIMEOUT).thenApply(answer -> {
            if (!answer.path("vms").isArray()) {
                throw http.malformed(PATH, "no list vms");
            }
            return StreamSupport.stream(answer.path("vms").spliterator(), false)
                    .flatMap(row -> vm(row).stream())
                    .toList();
        });
    }

    private static Optional<Vm> vm(JsonNode row) {
        return ProcessRole.ofLabel(row.path("role").asText())
                .map(role -> new Vm(
                        row.path("name").asText(),
                        role,
                        row.path("peerAddress").asText(),
                        row.path("dataCentre").asText(),
                        row.path("region").asText(),
                        row.path("upstreamId").asText(),
                        row.path("leaving").asBoolean()));
    }
}
