package io.parsleycleat.standin.history;

import io.parsleycleat.standin.history.HistoryEvent.Answer;
import io.parsleycleat.standin.history.HistoryEvent.Invocation;
import io.parsleycleat.standin.history.HistoryEvent.Leaving;
import io.parsleycleat.standin.history.HistoryEvent.Unload;
import io.parsleycleat.standin.history.HistoryEvent.UpstreamCrash;
import io.parsleycleat.standin.history.HistoryEvent.UpstreamRun;
import java.time.Duration;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Checks of where and how requests ran. Stateless. */
final class RunChecks {
    private static final int MAX_CRASHES = 2;

    private RunChecks() {}

    /** Each run is on the adapter and version that was asked for, and the answer names the version that ran. */
    static Stream<String> rightAdapter(History history) {
        Stream<String> asked = history.of(UpstreamRun.class).flatMap(run -> history.invocation(run.request()).stream()
                .filter(i -> !matches(i, run))
                .map(i -> i.request() + " asked for " + i.target() + "@" + i.version() + " and ran on " + run.target()
                        + "@" + run.version()));
        Stream<String> named = history.of(Answer.class)
                .filter(a -> a.code() == 0 && !a.version().isEmpty())
                .filter(a -> history.of(UpstreamRun.class)
                        .filter(r -> r.request().equals(a.request()))
                        .noneMatch(r -> r.version().equals(a.version())))
                .map(a -> a.request() + " was answered as of version " + a.version() + ", which did not run");
        return Stream.concat(asked, named);
    }

    private static boolean matches(Invocation invocation, UpstreamRun run) {
        return invocation.target().equals(run.target())
                && (invocation.version().isEmpty() || invocation.version().equals(run.version()));
    }

    /** No adapter version is unloaded while a run on it is under way. */
    static Stream<String> adapterInUse(History history) {
        return history.of(Unload.class).flatMap(unload -> history.of(UpstreamRun.class)
                .filter(run -> run.upstream().equals(unload.upstream()))
                .filter(run ->
                        run.target().equals(unload.adapter()) && run.version().equals(unload.version()))
                .filter(run -> run.at() < unload.at() && unload.at() < run.end())
                .map(run -> unload.adapter() + " left " + unload.upstream() + " under " + run.request()));
    }

    /** Nothing starts on an upstream that has been leaving for longer than the bound. */
    static Stream<String> leaving(History history, Duration bound) {
        return history.of(Leaving.class).flatMap(leaving -> history.of(UpstreamRun.class)
                .filter(run -> run.upstream().equals(leaving.upstream()))
                .filter(run -> run.at() > leaving.at() + bound.toMillis())
                .map(run -> run.request() + " started on " + leaving.upstream() + " while it was leaving"));
    }

    /** No request crashes more than two upstreams. */
    static Stream<String> crashBound(History history) {
        return history
                .of(UpstreamCrash.class)
                .map(UpstreamCrash::body)
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()))
                .entrySet()
                .stream()
                .filter(e -> e.getValue() > MAX_CRASHES)
                .map(e -> e.getKey() + " crashed " + e.getValue() + " upstreams");
    }
}
