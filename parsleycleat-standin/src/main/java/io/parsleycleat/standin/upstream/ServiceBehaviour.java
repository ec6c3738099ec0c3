package io.parsleycleat.standin.upstream;

import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

/**
 * What a plain service does with its next requests. Immutable.
 *
 * @param times requests that fail; later ones are served
 * @param delayMillis time before the effect
 * @param bodyBytes size to which the answer is filled up
 * @param bodyMillis time over which the answer's body is sent
 */
public record ServiceBehaviour(Failure failure, int times, long delayMillis, int bodyBytes, long bodyMillis) {
    /** Every request is served at once. */
    public static final ServiceBehaviour NORMAL = new ServiceBehaviour(Failure.NONE, 0, 0, 0, 0);

    public ServiceBehaviour {
        Objects.requireNonNull(failure, "failure");
        if (times < 0 || delayMillis < 0 || bodyBytes < 0 || bodyMillis < 0) {
            throw new IllegalArgumentException("numbers must not be negative");
        }
    }

    /** Returns the behaviour that lets a number of requests fail. */
    public static ServiceBehaviour failing(Failure failure, int times) {
        return new ServiceBehaviour(failure, times, 0, 0, 0);
    }

    /** Returns a copy with another time before the effect. */
    public ServiceBehaviour withDelayMillis(long newDelayMillis) {
        return new ServiceBehaviour(failure, times, newDelayMillis, bodyBytes, bodyMillis);
    }

    /** Returns a copy whose answers have a body of some size, sent over some time. */
    public ServiceBehaviour withBody(int newBodyBytes, long newBodyMillis) {
        return new ServiceBehaviour(failure, times, delayMillis, newBodyBytes, newBodyMillis);
    }

    static Optional<ServiceBehaviour> parse(JsonNode body) {
        String label = body.path("failure").asText(Failure.NONE.label());
        return Arrays.stream(Failure.values())
                .filter(f -> f.label().equals(label))
                .findFirst()
                .map(f -> new ServiceBehaviour(
                        f,
                        Math.max(0, body.path("times").asInt()),
                        Math.max(0, body.path("delayMillis").asLong()),
                        Math.max(0, body.path("bodyBytes").asInt()),
                        Math.max(0, body.path("bodyMillis").asLong())));
    }

    /** How a request fails. */
    public enum Failure {
        /** It does not. */
        NONE,
        /** Status 503 before the effect. */
        STATUS_BEFORE_EFFECT,
        /** Status 500 after the effect. */
        STATUS_AFTER_EFFECT,
        /** The connection is closed before the effect. */
        CUT_BEFORE_EFFECT,
        /** The connection is closed after the effect. */
        CUT_AFTER_EFFECT,
        /** The connection is closed after the effect and half of the answer's body. */
        CUT_IN_BODY;

        /** Returns the name that the control interface uses. */
        @JsonValue
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        boolean isBeforeEffect() {
            return this == STATUS_BEFORE_EFFECT || this == CUT_BEFORE_EFFECT;
        }
    }
}
