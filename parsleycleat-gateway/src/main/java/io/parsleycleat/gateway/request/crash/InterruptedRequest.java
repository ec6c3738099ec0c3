package io.parsleycleat.gateway.request.crash;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A request whose connection to its upstream was lost before the answer was complete. Immutable.
 *
 * @param id the id that the caller chose
 * @param fingerprint identifies repeats of the same request
 * @param sharedPromptParts ids of the parts of its prompt that other requests may share
 * @param answerAge how long ago the first bytes of the answer's body had arrived; empty if none had
 */
public record InterruptedRequest(
        String id, String fingerprint, List<String> sharedPromptParts, Optional<Duration> answerAge) {
    public InterruptedRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(fingerprint, "fingerprint");
        sharedPromptParts = List.copyOf(sharedPromptParts);
        Objects.requireNonNull(answerAge, "answerAge");
    }

    @Override
    public String toString() {
        String answer = answerAge
                .map(age -> "answer begun " + age.toMillis() + " ms before")
                .orElse("no answer");
        return id + " (" + answer + ", prompt parts " + String.join(" ", sharedPromptParts) + ")";
    }
}
