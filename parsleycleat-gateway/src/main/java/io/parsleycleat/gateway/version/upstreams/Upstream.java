package io.parsleycleat.gateway.version.upstreams;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * An upstream according to its newest description. Immutable.
 *
 * @param id usually identifies one start of the upstream; {@code startMillis} distinguishes starts with the same id
 * @param startMillis the time of its start, in Unix milliseconds
 * @param leaving whether it accepts no new requests
 * @param slots the number of requests that it runs at once
 * @param residentAdapters the versions of the adapters that it has loaded, by name as MODEL/NAME; a base model is
 *     listed under its own name
 */
public record Upstream(
        String id,
        String service,
        InetSocketAddress address,
        String dataCentre,
        long startMillis,
        boolean leaving,
        int slots,
        Map<String, Long> residentAdapters) {
    public Upstream {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(dataCentre, "dataCentre");
        residentAdapters = Map.copyOf(residentAdapters);
    }

    /** Returns a later start of this upstream at the same address, with nothing known to be loaded. */
    public Upstream withStart(String newId, long newStartMillis) {
        return new Upstream(newId, service, address, dataCentre, newStartMillis, false, slots, Map.of());
    }

    /** Returns a copy that accepts no new requests. */
    Upstream asLeaving() {
        return leaving
                ? this
                : new Upstream(id, service, address, dataCentre, startMillis, true, slots, residentAdapters);
    }

    /** Returns whether both describe the same start of the same upstream. */
    public boolean isSameStart(Upstream other) {
        return id.equals(other.id) && startMillis == other.startMillis && address.equals(other.address);
    }
}
