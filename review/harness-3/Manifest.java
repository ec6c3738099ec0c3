/** The operators' manifest of the cases: one service of model engines and one route to it. */
final class Manifest {
    private Manifest() {}

    static String text(String key) {
        return text(key, true);
    }

    /** Returns the manifest with a route whose streams may be resumed, or may not. */
    static String text(String key, boolean resumable) {
        return "{\"version\":1,\"routes\":[{\"name\":\"draft\",\"host\":\"shop.example\",\"path_prefix\":\"/draft/\","
                + "\"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\""
                + Fleet.SERVICE + "\",\"max_attempts\":2,\"anonymous\":false,\"sticky_sessions\":true,\"resumable\":" + resumable + ","
                + "\"gap_aim_ms\":300}],\"services\":[{\"name\":\"" + Fleet.SERVICE
                + "\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":64,\"kv_cache_tokens\":" + Engine.MEMORY_TOKENS + ",\"stride\":2,\"models\":[{\"name\":\""
                + Engine.MODEL + "\",\"weights_mb\":42700.0,\"load_s\":0.6,\"adapters\":3000,\"adapter_mb\":66.0}],"
                + "\"weights_mb\":45000.0,\"adapter_slots\":8,\"loads_per_s\":2.3}}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
                + "\"tailors\",\"api_keys\":[\"" + key + "\"],\"priority\":1,\"unit\":\"token_stream\",\"plain_tokens\":200,"
                + "\"rate_per_s\":0,\"burst\":0}]}";
    }
}
