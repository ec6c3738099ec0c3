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
    /** Time from the first bytes of an answer after which its prompt did not crash the upstream. */
    public static final Duration SURVIVAL_TIME = Duration.ofSeconds(1);

    public InterruptedRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(fingerprint, "fingerprint");
        sharedPromptParts = List.copyOf(sharedPromptParts);
        Objects.requireNonNull(answerAge, "answerAge");
    }

    /** Returns the shared parts that may have caused the crash: none if the answer had been written for a while. */
    public List<String> partsAtRisk() {
        boolean survived =
                answerAge.filter(age -> age.compareTo(SURVIVAL_TIME) >= 0).isPresent();
        return survived ? List.of() : sharedPromptParts;
    }

    @Override
    public String toString() {
        String answer = answerAge
                .map(age -> "answer begun " + age.toMillis() + " ms before")
                .orElse("no answer");
        return id + " (" + answer + ", prompt parts " + String.join(" ", sharedPromptParts) + ")";
    }
}
