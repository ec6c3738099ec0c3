package io.parsleycleat.core.request.execute;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.wire.run.Start;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Checks whether a run may go on: once when it arrives, and again right before its point of no return.
 *
 * <p>Created once by the side; safe to share between threads.
 *
 * @param arrival checks for arriving runs only
 * @param always checks that are repeated before the point of no return
 */
public record SideGate(
        List<Function<Start, Optional<Refusal>>> arrival, List<Function<Start, Optional<Refusal>>> always) {
    public SideGate {
        arrival = List.copyOf(arrival);
        always = List.copyOf(always);
        Objects.requireNonNull(always, "always");
    }

    /** Returns why an arriving run is refused. */
    public Optional<Refusal> onArrival(Start start) {
        return first(Stream.concat(arrival.stream(), always.stream()), start);
    }

    /** Returns why a run must not start although its turn has come. */
    public Optional<Refusal> beforeRun(Start start) {
        return first(always.stream(), start);
    }

    private static Optional<Refusal> first(Stream<Function<Start, Optional<Refusal>>> checks, Start start) {
        return checks.map(check -> check.apply(start)).flatMap(Optional::stream).findFirst();
    }
}
