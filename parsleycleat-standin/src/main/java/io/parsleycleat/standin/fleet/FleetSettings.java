package io.parsleycleat.standin.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.parsleycleat.standin.http.Json;
import java.net.URI;

/**
 * Writes the settings of a fleet's daemons.
 *
 * <p>Created by {@link Fleet}; safe to share between threads.
 */
final class FleetSettings {
    private final FreePorts ports = new FreePorts();

    /** Returns an entry's settings with free addresses. */
    ObjectNode entry(String name, Place place, Platform platform, String operatorKeyHash) {
        ObjectNode settings = common(name, place, platform);
        settings.putObject("listen")
                .put("callers", ports.next())
                .put("peers", ports.next())
                .put("operators", ports.next())
                .put("admin", ports.next());
        settings.putObject("callers");
        settings.putObject("requests");
        settings.put("firstOperatorKeyHash", operatorKeyHash);
        return settings;
    }

    /** Returns the settings of a side beside an upstream, with free addresses. */
    ObjectNode side(String name, Place place, Platform platform, Upstream upstream) {
        ObjectNode settings = common(name, place, platform);
        settings.putObject("listen").put("peers", ports.next()).put("admin", ports.next());
        ObjectNode node = settings.putObject("upstream")
                .put("id", upstream.id())
                .put("kind", upstream.service().isEmpty() ? "MODEL_ENGINE" : "PLAIN_SERVICE")
                .put("address", upstream.uri().toString())
                .put("checksFencing", upstream.checksFencing());
        if (!upstream.service().isEmpty()) {
            node.put("service", upstream.service());
        }
        return settings;
    }

    private static ObjectNode common(String name, Place place, Platform platform) {
        ObjectNode settings = Json.object();
        settings.putObject("vm")
                .put("name", name)
                .put("dataCentre", place.dataCentre())
                .put("region", place.region());
        settings.putObject("platform")
                .put("log", platform.log().toString())
                .put("vmList", platform.vmList().toString())
                .put("weightStore", platform.weightStore().toString());
        settings.putObject("control");
        return settings;
    }

    /** Where the platform's services are. */
    record Platform(URI log, URI vmList, URI weightStore) {}

    /** The upstream that a side stands beside; the service's name is empty for a model engine. */
    record Upstream(String id, URI uri, String service, boolean checksFencing) {}
}
