package io.parsleycleat.core.request.execute;

import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.wire.run.Start;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Checks whether a run may go on: once when it arrives, and again right before its point of no return.
 *
 * <p>Created once by the side; safe to share between threads.
 *
 * @param arrival checks for arriving runs only
 * @param always checks for arriving runs that are repeated before the point of no return
 * @param last checks before the point of no return only
 */
public record SideGate(List<Check> arrival, List<Check> always, List<Check> last) {
    /** Decides about one run; returns why it is refused. */
    @FunctionalInterface
    public interface Check extends Function<Start, Optional<Refusal>> {}

    public SideGate {
        arrival = List.copyOf(arrival);
        always = List.copyOf(always);
        last = List.copyOf(last);
    }

    /** Returns a copy with further checks that are made right before the run only. */
    public SideGate withBeforeRun(List<Check> checks) {
        return new SideGate(
                arrival, always, Stream.concat(last.stream(), checks.stream()).toList());
    }

    /** Returns why an arriving run is refused. */
    public Optional<Refusal> onArrival(Start start) {
        return first(Stream.concat(arrival.stream(), always.stream()), start);
    }

    /** Returns why a run must not start although its turn has come. */
    public Optional<Refusal> beforeRun(Start start) {
        return first(Stream.concat(always.stream(), last.stream()), start);
    }

    private static Optional<Refusal> first(Stream<Check> checks, Start start) {
        return checks.map(check -> check.apply(start)).flatMap(Optional::stream).findFirst();
    }
}
