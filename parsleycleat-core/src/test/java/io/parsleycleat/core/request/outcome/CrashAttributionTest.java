package io.parsleycleat.core.request.outcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.request.outcome.CrashAttribution.NewQuarantines;
import io.parsleycleat.core.request.outcome.CrashAttribution.PartQuarantine;
import io.parsleycleat.core.request.outcome.CrashAttribution.RequestAtRisk;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards the rules by which crashes of upstreams are attributed to prompt parts and to single requests. */
public class CrashAttributionTest {
    private static final long START = 1_000_000;
    private static final long MINUTE = Duration.ofMinutes(1).toMillis();

    private CrashAttribution attribution;
    private int requests;

    @BeforeMethod
    public void setUp() {
        attribution = new CrashAttribution(() -> 0);
        requests = 0;
    }

    private RequestAtRisk request(String... parts) {
        requests++;
        return new RequestAtRisk("request-" + requests, List.of(parts));
    }

    private Set<String> partsQuarantinedBy(int crash, RequestAtRisk... atRisk) {
        return attribution
                .onCrash("engine-" + crash, List.of(atRisk), START + crash)
                .parts()
                .keySet();
    }

    private boolean isRefused(String part, long millis) {
        return attribution.quarantinedPart(List.of(part), millis).isPresent();
    }

    @Test
    public void deadlyPartIsQuarantinedAtItsThirdCrash() {
        attribution.onPartsSurvived(List.of("first"), START);
        assertEquals(partsQuarantinedBy(1, request("first", "deadly"), request("first", "a")), Set.of());
        assertEquals(partsQuarantinedBy(2, request("first", "deadly"), request("first", "b")), Set.of());
        assertEquals(partsQuarantinedBy(3, request("first", "deadly"), request("first", "a")), Set.of("deadly"));
        assertTrue(attribution.isQuarantined("new", List.of("first", "deadly"), START + 4));
        assertFalse(attribution.isQuarantined("new", List.of("first", "a"), START + 4));
    }

    @Test
    public void partThatSurvivesAfterTheCrashIsNotQuarantined() {
        partsQuarantinedBy(1, request("first", "deadly"));
        partsQuarantinedBy(2, request("first", "deadly"));
        attribution.onPartsSurvived(List.of("first"), START + 2);
        assertEquals(partsQuarantinedBy(3, request("first", "deadly")), Set.of("deadly"));
    }

    // Guards against refusing all requests of a first part that no upstream lived long enough to answer.
    @Test
    public void onlyLastOfPartsThatWereAlwaysAtRiskTogetherIsQuarantined() {
        partsQuarantinedBy(1, request("first", "middle", "deadly"));
        partsQuarantinedBy(2, request("first", "middle", "deadly"));
        assertEquals(partsQuarantinedBy(3, request("first", "middle", "deadly")), Set.of("deadly"));
    }

    @Test
    public void earlierPartIsQuarantinedIfCrashesGoOnWithoutTheLast() {
        IntStream.rangeClosed(1, 3).forEach(i -> partsQuarantinedBy(i, request("deadly", "last")));
        partsQuarantinedBy(4, request("deadly", "a"));
        partsQuarantinedBy(5, request("deadly", "b"));
        assertEquals(partsQuarantinedBy(6, request("deadly", "c")), Set.of("deadly"));
    }

    @Test
    public void unrelatedPartsThatNothingDistinguishesAreQuarantinedAtTheFifthCrash() {
        IntStream.rangeClosed(1, 4)
                .forEach(i -> assertEquals(partsQuarantinedBy(i, request("a"), request("b")), Set.of()));
        assertEquals(partsQuarantinedBy(5, request("a"), request("b")), Set.of("a", "b"));
    }

    @Test
    public void twoDeadlyPartsAreQuarantinedEachAtItsThirdCrash() {
        partsQuarantinedBy(1, request("one"));
        partsQuarantinedBy(2, request("two"));
        partsQuarantinedBy(3, request("one"));
        partsQuarantinedBy(4, request("two"));
        assertEquals(partsQuarantinedBy(5, request("one")), Set.of("one"));
        assertEquals(partsQuarantinedBy(6, request("two")), Set.of("two"));
    }

    @Test
    public void crashThatQuarantinedPartExplainsCountsAgainstNothingElse() {
        IntStream.rangeClosed(1, 3).forEach(i -> partsQuarantinedBy(i, request("deadly")));
        RequestAtRisk bystander = request("a");
        IntStream.rangeClosed(4, 9).forEach(i -> partsQuarantinedBy(i, request("deadly"), bystander));
        assertFalse(attribution.isQuarantined(bystander.fingerprint(), List.of("a"), START + 10));
    }

    // Guards against refusing a sound request for crashes that were explained only later.
    @Test
    public void quarantineOfRequestEndsWhenPartExplainsItsCrashes() {
        RequestAtRisk bystander = request("a");
        attribution.onPartsSurvived(List.of("a"), START);
        partsQuarantinedBy(1, request("deadly"), bystander);
        partsQuarantinedBy(2, request("deadly"), bystander);
        assertTrue(attribution.isQuarantined(bystander.fingerprint(), List.of("a"), START + 3));
        partsQuarantinedBy(3, request("deadly"));
        assertFalse(attribution.isQuarantined(bystander.fingerprint(), List.of("a"), START + 4));
    }

    @Test
    public void repeatedRequestIsQuarantinedAloneWithoutItsParts() {
        RequestAtRisk repeated = request("a");
        attribution.onCrash("engine-1", List.of(repeated), START);
        NewQuarantines begun = attribution.onCrash("engine-2", List.of(repeated), START);
        assertEquals(begun.requests(), Set.of(repeated.fingerprint()));
        attribution.onCrash("engine-3", List.of(repeated), START);
        assertFalse(isRefused("a", START + 1));
    }

    @Test
    public void reportsOfOneCrashCountOnce() {
        IntStream.rangeClosed(1, 9).forEach(i -> attribution.onCrash("engine-1", List.of(request("a")), START + i));
        assertFalse(isRefused("a", START + 10));
    }

    @Test
    public void partSeenSoundElsewhereEndsItsQuarantine() {
        IntStream.rangeClosed(1, 3).forEach(i -> partsQuarantinedBy(i, request("a")));
        attribution.onPartCleared("a", START + 4);
        assertFalse(isRefused("a", START + 5));
    }

    @Test
    public void quarantineOfPartThatIsKnownAsSoundIsNotTaken() {
        attribution.onPartsSurvived(List.of("a"), START);
        PartQuarantine quarantine = new PartQuarantine(START + MINUTE, Duration.ofMinutes(1));
        assertFalse(attribution.onPartQuarantined("a", quarantine, START + 1));
        assertFalse(isRefused("a", START + 2));
    }

    // Guards against refusing a part for long that crashed nobody.
    @Test
    public void oneRequestIsAdmittedOnTrialAfterQuarantineAndClearsPart() {
        IntStream.rangeClosed(1, 3).forEach(i -> partsQuarantinedBy(i, request("a")));
        long after = START + 3 + MINUTE;
        assertFalse(attribution.admit("x", List.of("a"), after - 1));
        assertTrue(attribution.admit("x", List.of("a"), after));
        assertFalse(attribution.admit("y", List.of("a"), after + 1));
        assertEquals(attribution.onPartsSurvived(List.of("a"), after + 2), List.of("a"));
        assertTrue(attribution.admit("y", List.of("a"), after + 3));
    }

    @Test
    public void crashOnTrialRepeatsQuarantineForLonger() {
        IntStream.rangeClosed(1, 3).forEach(i -> partsQuarantinedBy(i, request("deadly")));
        long after = START + 3 + MINUTE;
        attribution.admit("x", List.of("deadly"), after);
        NewQuarantines begun =
                attribution.onCrash("engine-4", List.of(new RequestAtRisk("x", List.of("deadly"))), after + 1);
        assertEquals(begun.parts().get("deadly").length(), Duration.ofMinutes(4));
        assertFalse(attribution.admit("y", List.of("deadly"), after + 3 * MINUTE));
    }

    // Guards against all processes of a large fleet trying a deadly part at the same moment.
    @Test
    public void trialComesAtRandomTimeAfterQuarantine() {
        CrashAttribution late = new CrashAttribution(() -> 0.5);
        PartQuarantine quarantine = new PartQuarantine(START + MINUTE, Duration.ofMinutes(1));
        late.onPartQuarantined("a", quarantine, START);
        assertFalse(late.admit("x", List.of("a"), START + MINUTE + MINUTE / 4 - 1));
        assertTrue(late.admit("x", List.of("a"), START + MINUTE + MINUTE / 4));
    }

    // Guards against an endless loop when the time of day was set back after a crash.
    @Test
    public void crashThatSeemsToLieInTheFutureIsAttributedOnce() {
        IntStream.rangeClosed(1, 2).forEach(i -> partsQuarantinedBy(i, request("a")));
        attribution.onCrash("engine-3", List.of(request("a")), START + 2 * MINUTE);
        NewQuarantines begun = attribution.onCrash(
                "engine-4", List.of(request("a")), START - Duration.ofDays(2).toMillis());
        assertFalse(begun.requests().contains("request-1"));
    }
}
