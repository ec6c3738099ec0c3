package io.parsleycleat.core.request.outcome;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Locale;
import java.util.Objects;
import java.util.UUID;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * The key by which a caller marks repeats of one non-idempotent request: a UUID of version 7.
 *
 * <p>Its time bounds how long the key has to be remembered. Created for each request; immutable and safe to share.
 */
public record IdempotencyKey(String text, long timeMillis) {
    private static final Pattern FORM =
            Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");
    private static final int TIME_SHIFT_BITS = 16;

    public IdempotencyKey {
        Objects.requireNonNull(text, "text");
    }

    /** Reads a key and checks that its time lies within the window before now, or slightly after. */
    public static Either<Refusal, IdempotencyKey> check(
            @Nullable String given, long nowMillis, Duration window, Duration clockTolerance) {
        if (given == null || given.isBlank()) {
            return Either.left(Refusal.of(ResultCode.IDEMPOTENCY_KEY_MISSING));
        }
        String text = normalize(given);
        if (!FORM.matcher(text).matches()) {
            return Either.left(Refusal.of(ResultCode.IDEMPOTENCY_KEY_MALFORMED));
        }
        long time = UUID.fromString(text).getMostSignificantBits() >>> TIME_SHIFT_BITS;
        if (time < nowMillis - window.toMillis()) {
            return Either.left(Refusal.of(ResultCode.IDEMPOTENCY_KEY_EXPIRED));
        }
        if (time > nowMillis + clockTolerance.toMillis()) {
            return Either.left(Refusal.of(ResultCode.IDEMPOTENCY_KEY_FUTURE));
        }
        return Either.right(new IdempotencyKey(text, time));
    }

    /** Returns the form in which keys are compared. */
    static String normalize(String given) {
        return given.strip().toLowerCase(Locale.ROOT);
    }
}
