package io.parsleycleat.core.request.outcome;

import com.google.protobuf.ByteString;
import java.util.Objects;

/** A non-idempotent request before it runs. */
public record IntentRequest(String service, String accountId, String idempotencyKey, ByteString bodySha256) {
    public IntentRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(accountId, "accountId");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
        Objects.requireNonNull(bodySha256, "bodySha256");
    }
}
