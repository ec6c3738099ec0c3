package io.parsleycleat.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.core.connection.platform.Vm;
import java.net.URI;
import java.time.Duration;
import java.util.Objects;

/**
 * An entry or a side that runs as a process of a fleet. Created by {@link Fleet}; safe to share between threads.
 *
 * @param vm its row in the VM list
 * @param settings what stands in its settings file
 */
public record DaemonNode(FleetProcess process, Vm vm, ObjectNode settings, FleetHttp http) {
    public DaemonNode {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(http, "http");
    }

    /** Returns the base of the URLs that callers use. Only entries have one. */
    public URI callers() {
        return uri("callers");
    }

    /** Returns the address of the operators' interface. Only entries have one. */
    public String operators() {
        return settings.path("listen").path("operators").asText();
    }

    /** Returns the metrics. */
    public JsonNode metrics() {
        return http.get(URI.create(uri("admin") + "/metrics"));
    }

    /** Waits until the daemon can serve. */
    public void awaitReady(Duration timeout) {
        http.awaitOk(URI.create(uri("admin") + "/ready"), timeout).join();
    }

    private URI uri(String listen) {
        return URI.create("http://" + settings.path("listen").path(listen).asText());
    }
}
