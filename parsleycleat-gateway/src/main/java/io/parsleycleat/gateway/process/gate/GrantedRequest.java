package io.parsleycleat.gateway.process.gate;

import io.parsleycleat.gateway.version.routes.AdapterId;

/**
 * A request that was granted and has not ended.
 *
 * <p>Created by {@link EngineGate} for each grant; guarded by its lock.
 */
final class GrantedRequest {
    final AdapterId adapter;
    final int promptTokens;
    final long reservedTokens;
    final long grantedNanos;
    final long startNumber;
    boolean hasFirstEvent;

    GrantedRequest(WaitingStart start, long grantedNanos, long startNumber) {
        this.adapter = start.adapter();
        this.promptTokens = start.request().getPromptTokens();
        this.reservedTokens = start.requiredTokens();
        this.grantedNanos = grantedNanos;
        this.startNumber = startNumber;
    }
}
