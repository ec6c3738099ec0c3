package io.parsleycleat.core.request.serve;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;

/** Computes what recognizes a request that is sent again. Stateless. */
final class Fingerprints {
    private Fingerprints() {}

    /** Returns the fingerprint of an account's request to a target. */
    static String of(String accountId, String target, ByteString body) {
        return Hashing.sha256()
                .newHasher()
                .putString(accountId, StandardCharsets.UTF_8)
                .putChar('\n')
                .putString(target, StandardCharsets.UTF_8)
                .putChar('\n')
                .putBytes(body.toByteArray())
                .hash()
                .toString();
    }
}
