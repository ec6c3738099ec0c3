package io.parsleycleat.core.version.configuration.keys;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.wire.configuration.Key;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a key admits its holder to routes. The entry asks with the key that a caller presents, and entry and
 * side again with the key's id just before the run starts.
 *
 * <p>Created once by the process; safe to share between threads.
 */
public final class KeyGate {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    private final ConfigurationSource source;
    private final CutOffMonitor monitor;
    private final CutOffPolicy policy;

    /** Creates a gate that decides by the newest configuration known. */
    public KeyGate(ConfigurationSource source, CutOffMonitor monitor, CutOffPolicy policy) {
        this.source = source;
        this.monitor = monitor;
        this.policy = policy;
    }

    /** Returns the key with this text, or why it does not admit its holder. */
    public Either<Refusal, Key> check(@Nullable String presentedKey) {
        if (presentedKey == null || presentedKey.isBlank()) {
            return Either.left(Refusal.of(ResultCode.KEY_MISSING));
        }
        return view().flatMap(view -> KeyFormat.parse(presentedKey)
                .map(key -> decide(view, key.id(), KeyVerdict.of(view, key)))
                .orElseGet(() -> Either.left(Refusal.of(ResultCode.KEY_UNKNOWN))));
    }

    /**
     * Returns why a key, whose secret an entry has checked, admits its holder no longer. Keys are kept for ever, so one
     * that is not known here was issued after what this process has read: its entry decides.
     */
    public Optional<Refusal> refusal(String keyId) {
        return view().fold(Optional::of, view -> refusal(view, keyId));
    }

    private Either<Refusal, ConfigurationView> view() {
        return source.isReady()
                ? Either.right(source.current())
                : Either.left(Refusal.of(ResultCode.NOT_READY).withRetryAfter(RETRY_AFTER));
    }

    private Either<Refusal, Key> decide(ConfigurationView view, String keyId, KeyVerdict verdict) {
        if (verdict != KeyVerdict.VALID) {
            return Either.left(Refusal.of(verdict.code()));
        }
        Key key = view.key(keyId).orElseThrow();
        return refusal(view, keyId).<Either<Refusal, Key>>map(Either::left).orElseGet(() -> Either.right(key));
    }

    private Optional<Refusal> refusal(ConfigurationView view, String keyId) {
        if (view.isWithdrawn(keyId)) {
            return Optional.of(Refusal.of(ResultCode.KEY_WITHDRAWN));
        }
        if (view.key(keyId).filter(Key::getOperator).isPresent()) {
            return Optional.of(Refusal.of(ResultCode.KEY_UNKNOWN));
        }
        return monitor.refusesKeys(policy)
                ? Optional.of(Refusal.of(ResultCode.CUT_OFF).withRetryAfter(RETRY_AFTER))
                : Optional.empty();
    }
}
