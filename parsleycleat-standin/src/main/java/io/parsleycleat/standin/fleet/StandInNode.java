package io.parsleycleat.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.Objects;

/** A stand-in that runs as a process of a fleet. Created by {@link Fleet}; safe to share between threads. */
public record StandInNode(FleetProcess process, URI uri, FleetHttp http) {
    public StandInNode {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(http, "http");
    }

    /** Returns what the control interface tells below a path. */
    public JsonNode read(String control) {
        return http.get(URI.create(uri + "/control/" + control));
    }

    /** Sends an order to the control interface. */
    public JsonNode order(String control, JsonNode body) {
        return http.send("POST", URI.create(uri + "/control/" + control), body);
    }
}
