package io.parsleycleat.standin.history;

import io.parsleycleat.core.process.result.ResultClass;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.standin.history.HistoryEvent.Answer;
import io.parsleycleat.standin.history.HistoryEvent.Fault;
import io.parsleycleat.standin.history.HistoryEvent.Invocation;
import io.parsleycleat.standin.history.HistoryEvent.PlannedStop;
import io.parsleycleat.standin.history.HistoryEvent.UpstreamRun;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Checks of what callers were told against what ran. Stateless. */
final class AnswerChecks {
    private static final Set<ResultCode> ABOUT_EARLIER_ATTEMPTS =
            EnumSet.of(ResultCode.ATTEMPT_IN_PROGRESS, ResultCode.OUTCOME_UNKNOWN, ResultCode.OUTCOME_TOO_LARGE);

    private AnswerChecks() {}

    /** An answer that counts as whole is exactly what an upstream answered to this request, or to an earlier try. */
    static Stream<String> wholeAnswer(History history) {
        return history.of(Answer.class)
                .filter(a -> a.code() == ResultCode.DONE.number())
                .filter(a -> runsOf(history, a).noneMatch(r -> r.answer().equals(a.body())))
                .map(a -> a.request() + " got an answer that no run of it gave");
    }

    /** A request that was refused as not run ran nowhere, neither before nor after. */
    static Stream<String> notRunIsTrue(History history) {
        return history.of(Answer.class)
                .filter(a ->
                        ResultCode.ofNumber(a.code()).map(ResultCode::isNotRun).orElse(false))
                .filter(a ->
                        history.of(UpstreamRun.class).anyMatch(r -> r.request().equals(a.request())))
                .map(a -> a.request() + " ran although its refusal " + a.code() + " said that it did not");
    }

    /** All requests with one idempotency key of one caller run at most once; so does each request without one. */
    static Stream<String> atMostOnce(History history) {
        return runsByOrder(history).entrySet().stream()
                .filter(e -> e.getValue() > 1)
                .map(e -> e.getKey() + " ran " + e.getValue() + " times");
    }

    /** A non-idempotent request that was answered as done ran. */
    static Stream<String> confirmedIsRecorded(History history) {
        Map<String, Long> runs = runsByOrder(history);
        return history.of(Answer.class)
                .filter(a -> a.code() == ResultCode.DONE.number())
                .flatMap(a -> history.invocation(a.request()).stream())
                .filter(i -> !i.idempotent() && !runs.containsKey(order(i)))
                .map(i -> i.request() + " was confirmed but never ran");
    }

    /** Each request gets exactly one final answer. */
    static Stream<String> everyRequestIsAnswered(History history) {
        Map<String, Long> answers =
                history.of(Answer.class).collect(Collectors.groupingBy(Answer::request, Collectors.counting()));
        return history.of(Invocation.class)
                .filter(i -> answers.getOrDefault(i.request(), 0L) != 1)
                .map(i -> i.request() + " got " + answers.getOrDefault(i.request(), 0L) + " final answers");
    }

    /** Where a planned stop and no fault touched a request, it is answered whole or refused as not run. */
    static Stream<String> plannedStopCutsNothing(History history) {
        if (history.of(PlannedStop.class).findAny().isEmpty()) {
            return Stream.empty();
        }
        List<Fault> faults = history.of(Fault.class).toList();
        return history.of(Answer.class)
                .filter(a ->
                        ResultCode.ofNumber(a.code()).map(AnswerChecks::isCut).orElse(true))
                .filter(a -> history.invocation(a.request()).stream()
                        .noneMatch(i -> faults.stream().anyMatch(f -> f.at() <= a.at() && i.at() <= f.end())))
                .map(a -> a.request() + " was cut with code " + a.code());
    }

    private static boolean isCut(ResultCode code) {
        return code.resultClass() == ResultClass.MAY_HAVE_RUN && !ABOUT_EARLIER_ATTEMPTS.contains(code);
    }

    private static Map<String, Long> runsByOrder(History history) {
        return history.of(UpstreamRun.class)
                .flatMap(r -> history.invocation(r.request()).stream())
                .filter(i -> !i.idempotent())
                .collect(Collectors.groupingBy(AnswerChecks::order, Collectors.counting()));
    }

    private static String order(Invocation invocation) {
        return invocation.idempotencyKey().isEmpty()
                ? invocation.request()
                : invocation.keyId() + "/" + invocation.idempotencyKey();
    }

    private static Stream<UpstreamRun> runsOf(History history, Answer answer) {
        String order =
                history.invocation(answer.request()).map(AnswerChecks::order).orElse("");
        return history.of(UpstreamRun.class)
                .filter(r -> r.request().equals(answer.request())
                        || history.invocation(r.request())
                                .map(i -> order(i).equals(order))
                                .orElse(false));
    }
}
