package io.parsleycleat.core.request.serve;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Finds a caller's key in the parts of its request that an upstream would see.
 *
 * <p>Stateless.
 */
final class KeyLeakCheck {
    private static final Refusal REFUSAL = Refusal.of(
            ResultCode.REQUEST_MALFORMED,
            "the key may stand in the Authorization header only, and stands elsewhere, too");

    private KeyLeakCheck() {}

    /** Returns a refusal when the key stands outside of its own header. */
    static Optional<Refusal> check(CallerRequest request, String key) {
        boolean leaked = isIn(request.uri(), key)
                || request.headers().stream()
                        .filter(h -> !HeaderRules.AUTHORIZATION.equalsIgnoreCase(h.getKey()))
                        .anyMatch(h -> h.getValue().contains(key) || h.getKey().contains(key))
                || contains(request.body(), key);
        return leaked ? Optional.of(REFUSAL) : Optional.empty();
    }

    private static boolean isIn(String uri, String key) {
        if (uri.contains(key)) {
            return true;
        }
        try {
            return URLDecoder.decode(uri, StandardCharsets.UTF_8).contains(key);
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static boolean contains(ByteString body, String key) {
        return body.toString(StandardCharsets.ISO_8859_1).contains(key);
    }
}
