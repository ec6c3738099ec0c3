/** Manifests in the form of the platform's pages. */
final class Manifest {
    private static final int ADAPTER_SLOTS = 17;
    private static final String ENGINE =
            "\"engine\":{\"slots\":64,\"kv_cache_tokens\":122011,\"kv_token_bytes\":163840,\"link_mbps\":130000.0,"
                    + "\"stride\":3,\"cap\":12,\"host_mb\":150000.0,\"disk_mb\":440000.0,\"models\":[{\"name\":\"m0\","
                    + "\"weights_mb\":65100.0,\"load_s\":0.72,\"adapters\":3000,\"adapter_mb\":12.0,\"warm_s\":0.76,"
                    + "\"disk_s\":0.99}],\"weights_mb\":66600.0,\"loads_per_s\":2.8,\"adapter_slots\":";

    private Manifest() {}

    static String route(String name, String prefix, String kind, String service, boolean anonymous) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout_ms\":15000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":2,\"anonymous\":" + anonymous + ",\"sticky_sessions\":"
                + kind.equals("streaming") + ",\"resumable\":false,\"gap_aim_ms\":300}";
    }

    static String modelService(String name) {
        return modelService(name, ADAPTER_SLOTS);
    }

    static String modelService(String name, int adapterSlots) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":370,\"protocol\":\"h1\","
                + "\"tls\":false," + ENGINE + adapterSlots + "}}";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\","
                + "\"tls\":false}";
    }

    static String tenant(String name, String... keys) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + String.join("\",\"", keys)
                + "\"],\"priority\":1,\"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}";
    }

    static String of(int version, String routes, String services, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}" + (tenants.isEmpty() ? "" : ",\"tenants\":[" + tenants + "]") + "}";
    }
}
