package io.parsleycleat.core.version.configuration.keys;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.ConfigurationView;
import io.parsleycleat.wire.configuration.Key;
import java.util.Optional;

/** What a configuration says of a key. */
public enum KeyVerdict {
    /** The key is issued and not withdrawn. */
    VALID(ResultCode.DONE),
    /** There is no such key, or its secret is wrong. */
    UNKNOWN(ResultCode.KEY_UNKNOWN),
    /** The key was withdrawn. */
    WITHDRAWN(ResultCode.KEY_WITHDRAWN);

    private final ResultCode code;

    KeyVerdict(ResultCode code) {
        this.code = code;
    }

    /** Returns the verdict on a key with its secret. Only who holds the secret learns that it was withdrawn. */
    public static KeyVerdict of(ConfigurationView view, KeyFormat presented) {
        Optional<Key> key = view.key(presented.id());
        if (key.isEmpty() || !Keys.matches(presented, key.get().getSecretHash())) {
            return UNKNOWN;
        }
        return of(view, presented.id());
    }

    /** Returns the verdict on a key whose secret was checked before. */
    public static KeyVerdict of(ConfigurationView view, String keyId) {
        if (view.isWithdrawn(keyId)) {
            return WITHDRAWN;
        }
        return view.key(keyId).isPresent() ? VALID : UNKNOWN;
    }

    /** Returns the result code of a refusal for this verdict. */
    public ResultCode code() {
        return code;
    }
}
