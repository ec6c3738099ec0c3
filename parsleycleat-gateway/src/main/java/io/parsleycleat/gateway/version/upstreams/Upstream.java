package io.parsleycleat.gateway.version.upstreams;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * An upstream as it last described itself. Immutable.
 *
 * @param id names one start of the upstream, mostly; {@code born} tells starts with the same id apart
 * @param startMillis Unix milliseconds of its start
 * @param leaving whether it takes no new requests
 * @param slots requests that it runs at once
 * @param residentAdapters version by name of the adapters that it holds, MODEL/NAME; a base model stands with its own name
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

    /** Returns a later start of this upstream at the same address, which is not known to hold anything. */
    public Upstream withStart(String newId, long newStartMillis) {
        return new Upstream(newId, service, address, dataCentre, newStartMillis, false, slots, Map.of());
    }

    /** Returns a copy that takes no new requests. */
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
