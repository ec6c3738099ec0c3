package io.parsleycleat.core.request.serve;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.run.Start;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * What a request takes from the configuration, and from which version. All of an entry that decides about an admitted
 * request asks here.
 *
 * <p>Account, key and kind are those of its admission. The newest version is asked whether the key was withdrawn, and
 * whether the request may be sent again after it may have run; it can only forbid.
 *
 * <p>Created by the flows for each request that they admit; immutable and safe to share between threads.
 *
 * @param keyRefusal tells why the key with an id admits its holder no longer
 * @param repeatable tells whether the newest version lets the request run again
 */
record RequestConfiguration(
        Account account,
        Optional<Key> key,
        boolean idempotent,
        Function<String, Optional<Refusal>> keyRefusal,
        BooleanSupplier repeatable) {
    RequestConfiguration {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(keyRefusal, "keyRefusal");
        Objects.requireNonNull(repeatable, "repeatable");
    }

    /** Returns the message that starts the request at a side, with what sides decide by. */
    Start.Builder start() {
        return Start.newBuilder()
                .setAccountId(account.getId())
                .setKeyId(key.map(Key::getId).orElse(""))
                .setFreeTier(account.getFreeTier())
                .setWeight(Math.max(1, account.getWeight()))
                .setIdempotent(idempotent);
    }

    /** Returns why the request must not start any more. */
    Optional<Refusal> refusal() {
        return key.map(Key::getId).flatMap(keyRefusal);
    }

    /** Returns whether the request may run again after it may have run. */
    boolean mayRepeat() {
        return idempotent && repeatable.getAsBoolean();
    }
}
