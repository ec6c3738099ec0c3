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
 * The VM list over HTTP, as docs/PLATFORM.md describes it. Rows of roles that are not known are passed over. A list
 * that has not changed is not sent again, where the platform tags its answers.
 *
 * <p>One a process; safe to share between threads.
 */
public final class HttpVmList implements VmList {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final String PATH = "/vms";

    private final JsonHttp http;
    private volatile Known known = new Known("", List.of());

    /** The newest list with its tag. */
    private record Known(String tag, List<Vm> vms) {}

    /** Creates a client of the list at an address. */
    public HttpVmList(AsyncHttpClient http, URI base) {
        this.http = new JsonHttp(http, base, ResultCode.VM_LIST_OUT);
    }

    @Override
    public CompletableFuture<List<Vm>> read() {
        Known before = known;
        return http.getIfChanged(PATH, before.tag(), TIMEOUT)
                .thenApply(answer -> answer.map(this::parse).orElse(before).vms());
    }

    private Known parse(JsonHttp.Tagged answer) {
        JsonNode rows = answer.body().path("vms");
        if (!rows.isArray()) {
            throw http.malformed(PATH, "no list vms");
        }
        List<Vm> vms = StreamSupport.stream(rows.spliterator(), false)
                .flatMap(row -> vm(row).stream())
                .toList();
        Known read = new Known(answer.tag(), vms);
        known = read;
        return read;
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
