package io.parsleycleat.core.request.outcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.request.outcome.CrashSuspects.Standing;
import io.parsleycleat.wire.outcome.CrashReport;
import io.parsleycleat.wire.outcome.RunningRequest;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CrashSuspectsTest {
    private static final Duration SUSPICION = Duration.ofMinutes(10);
    private static final Duration QUARANTINE = Duration.ofHours(1);
    private CrashSuspects suspects;

    @BeforeMethod
    public void start() {
        suspects = new CrashSuspects(SUSPICION, QUARANTINE);
    }

    private static CrashReport crash(String upstream, String incarnation, String... fingerprints) {
        return CrashReport.newBuilder()
                .setUpstreamId(upstream)
                .setUpstreamIncarnation(incarnation)
                .addAllFingerprints(List.of(fingerprints))
                .build();
    }

    @Test
    public void quarantinesAtTheSecondCrashAndSparesTheNeighbours() {
        assertEquals(suspects.onCrash(crash("e1", "1", "bad", "good"), 0), List.of());
        assertEquals(suspects.onCrash(crash("e1", "1", "bad", "good"), 0), List.of(), "the same crash again");
        assertTrue(suspects.onSurvived("good", 1));
        assertEquals(suspects.onCrash(crash("e2", "1", "bad", "other"), 2).size(), 1);
        assertEquals(suspects.standing("bad", 3), Standing.QUARANTINED);
        assertEquals(suspects.standing("good", 3), Standing.CLEAR);
        assertEquals(suspects.standing("other", 3), Standing.SUSPECT);
        assertEquals(suspects.refusal("bad", 3).orElseThrow().retryAfter(), QUARANTINE.minusMillis(1));
    }

    @Test
    public void quarantineEndsByTime() {
        suspects.onCrash(crash("e1", "1", "bad"), 0);
        suspects.onCrash(crash("e1", "2", "bad"), 0);
        assertEquals(suspects.standing("bad", QUARANTINE.toMillis() - 1), Standing.QUARANTINED);
        assertEquals(suspects.standing("bad", QUARANTINE.toMillis()), Standing.CLEAR);
    }

    @Test
    public void quarantineEndsByAnOperatorOnlyAfterItWasRecorded() {
        suspects.onCrash(crash("e1", "1", "bad"), 0);
        suspects.onCrash(crash("e1", "2", "bad"), 0);
        suspects.onConfiguration("bad", 0);
        assertEquals(suspects.standing("bad", 1), Standing.QUARANTINED);
        suspects.onConfiguration("bad", QUARANTINE.toMillis());
        suspects.onConfiguration("bad", 0);
        assertEquals(suspects.standing("bad", 1), Standing.CLEAR);
    }

    @Test
    public void suspectsRunApart() {
        suspects.onCrash(crash("e1", "1", "a", "b"), 0);
        assertTrue(suspects.mayStart("a", List.of("new", "newer"), 1));
        assertFalse(suspects.mayStart("a", List.of("new", "b"), 1));
        assertFalse(suspects.mayStart("a", List.of("a"), 1));
        assertTrue(suspects.mayStart("new", List.of("b"), 1));
    }

    @Test
    public void everyEntryChoosesTheSameTrialUpstream() {
        CrashSuspects other = new CrashSuspects(SUSPICION, QUARANTINE);
        suspects.onCrash(crash("e1", "1", "a"), 0);
        other.onCrash(crash("e1", "1", "a"), 5);
        String trial = suspects.trialUpstream("a", List.of("e1", "e2", "e3")).orElseThrow();
        assertEquals(other.trialUpstream("a", List.of("e3", "e2", "e1")).orElseThrow(), trial);
        assertFalse(trial.equals("e1"));
        assertEquals(suspects.trialUpstream("a", List.of("e1")).orElseThrow(), "e1");
    }

    private static CrashReport crashOfPrefix(int number, long prefixHash) {
        RunningRequest running = RunningRequest.newBuilder()
                .setFingerprint("request-" + number)
                .setPrefixHash(prefixHash)
                .build();
        return crash("e" + number, "1", running.getFingerprint()).toBuilder()
                .addRequests(running)
                .build();
    }

    // Guards against requests that differ but begin alike crashing one upstream after another.
    @Test
    public void beginningOfPromptsThatCrashesUpstreamsIsQuarantinedForNewRequests() {
        suspects.onCrash(crashOfPrefix(1, 7), 0);
        suspects.onCrash(crashOfPrefix(2, 7), 1);
        assertFalse(suspects.refusal("new", 7, 2).isPresent());
        assertEquals(
                suspects.onCrash(crashOfPrefix(3, 7), 2).get(0).getFingerprint(), CrashSuspects.prefixFingerprint(7));
        assertTrue(suspects.refusal("new", 7, 3).isPresent());
        assertFalse(suspects.refusal("new", 8, 3).isPresent());
    }

    @Test
    public void beginningOfPromptsThatRanToTheirEndIsNotQuarantined() {
        suspects.onPrefixSurvived(7, 0);
        for (int crash = 1; crash <= 9; crash++) {
            suspects.onCrash(crashOfPrefix(crash, 7), crash);
        }
        assertFalse(suspects.refusal("new", 7, 10).isPresent());
    }
}
