package io.parsleycleat.standin.history;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All checks by name: one for each thing that must always hold.
 *
 * <p>Created for each run; immutable and safe to share.
 */
public final class HistoryChecks {
    private final Map<String, HistoryCheck> checks;

    /**
     * Creates the checks.
     *
     * @param keyBound how long a withdrawn key may still work
     * @param leavingBound how long a leaving upstream may still get work
     * @param changeBound how long an accepted change may take until it is in force everywhere
     */
    public HistoryChecks(Duration keyBound, Duration leavingBound, Duration changeBound) {
        Map<String, HistoryCheck> all = new LinkedHashMap<>();
        all.put("right adapter and version", RunChecks::rightAdapter);
        all.put("adapter in use is not evicted", RunChecks::adapterInUse);
        all.put("only the account whose key came", AccessChecks::onlyTheAccount);
        all.put("no upstream sees a key", AccessChecks::noKeySeen);
        all.put("withdrawn key stops working", h -> AccessChecks.withdrawnKey(h, keyBound));
        all.put("rate and burst", AccessChecks::rateAndBurst);
        all.put("whole answer to its own request", AnswerChecks::wholeAnswer);
        all.put("not run is true", AnswerChecks::notRunIsTrue);
        all.put("non-idempotent at most once", AnswerChecks::atMostOnce);
        all.put("confirmed means recorded once", AnswerChecks::confirmedIsRecorded);
        all.put("every request is answered", AnswerChecks::everyRequestIsAnswered);
        all.put("leaving upstream gets nothing new", h -> RunChecks.leaving(h, leavingBound));
        all.put("planned stop cuts nothing", AnswerChecks::plannedStopCutsNothing);
        all.put("accepted configuration stays", h -> ConfigurationChecks.staysInForce(h, changeBound));
        all.put("two crashes for one request", RunChecks::crashBound);
        checks = all;
    }

    /** Returns the names of the checks. */
    public List<String> names() {
        return List.copyOf(checks.keySet());
    }

    /** Returns everything that is wrong with a history. */
    public List<Violation> check(History history) {
        return checks.entrySet().stream()
                .flatMap(e -> e.getValue().violations(history).map(detail -> new Violation(e.getKey(), detail)))
                .toList();
    }
}
