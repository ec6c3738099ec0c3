package io.parsleycleat.core.request.serve;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Decides which headers travel between caller and plain service: the end-to-end ones without the caller's key.
 *
 * <p>Stateless.
 */
final class HeaderRules {
    /** The header that carries a caller's key. */
    static final String AUTHORIZATION = "authorization";

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "http2-settings",
            "proxy-connection",
            "content-length",
            "expect",
            "host");

    private HeaderRules() {}

    /** Returns the headers of a request that its upstream gets. */
    static List<Map.Entry<String, String>> toUpstream(List<Map.Entry<String, String>> headers) {
        return endToEnd(headers).filter(h -> !isCredential(h.getKey())).toList();
    }

    /** Returns the headers of an answer that its caller gets. */
    static List<Map.Entry<String, String>> toCaller(List<Map.Entry<String, String>> headers) {
        return endToEnd(headers).toList();
    }

    private static boolean isCredential(String name) {
        return AUTHORIZATION.equalsIgnoreCase(name)
                || name.toLowerCase(Locale.ROOT).startsWith("x-http2-");
    }

    private static Stream<Map.Entry<String, String>> endToEnd(List<Map.Entry<String, String>> headers) {
        Set<String> named = headers.stream()
                .filter(h -> "connection".equalsIgnoreCase(h.getKey()))
                .flatMap(h -> Stream.of(h.getValue().split(",")))
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        return headers.stream().filter(h -> {
            String name = h.getKey().toLowerCase(Locale.ROOT);
            return !HOP_BY_HOP.contains(name) && !named.contains(name);
        });
    }
}
