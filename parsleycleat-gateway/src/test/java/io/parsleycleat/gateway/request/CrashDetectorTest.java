package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.core.request.outcome.CrashAttribution;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.crash.CrashDetector;
import io.parsleycleat.gateway.request.crash.InterruptedRequest;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.UpstreamCrash;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards how an entry finds out about crashes, and what entries tell each other about them. */
public class CrashDetectorTest {
    private ManualTimeSource time;
    private List<GateMessage> sent;
    private CrashDetector detector;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        sent = new ArrayList<>();
        detector = new CrashDetector(new CrashAttribution(() -> 0), time, sent::add);
    }

    private static Upstream upstream(int number) {
        return new Upstream("e-" + number, "s", new InetSocketAddress("127.0.0.1", 9), "here", 1, false, 8, Map.of());
    }

    private static InterruptedRequest interrupted(String fingerprint, Optional<Duration> answerAge) {
        return new InterruptedRequest("id", fingerprint, List.of("part"), answerAge);
    }

    private static UpstreamCrash noticeOf(int number) {
        return UpstreamCrash.newBuilder()
                .setUpstreamId("e-" + number)
                .setIncarnation(1)
                .build();
    }

    private void loseAndFindDown(int number, Optional<Duration> answerAge) {
        detector.onConnectionLost(upstream(number), interrupted("request-" + number, answerAge));
        detector.onUpstreamDown(upstream(number));
    }

    @Test
    public void lostConnectionAloneIsNoCrash() {
        IntStream.rangeClosed(1, 9)
                .forEach(i -> detector.onConnectionLost(upstream(i), interrupted("request-" + i, Optional.empty())));
        assertTrue(sent.isEmpty());
        assertTrue(detector.maySend("new", List.of("part")));
    }

    @Test
    public void crashesAreReportedAndDeadlyPartIsRefusedAndTold() {
        IntStream.rangeClosed(1, 3).forEach(i -> loseAndFindDown(i, Optional.empty()));
        assertFalse(detector.maySend("new", List.of("part")));
        assertEquals(sent.stream().filter(GateMessage::hasCrash).count(), 3);
        assertEquals(
                sent.stream()
                        .flatMap(m -> m.getParts().getQuarantinedList().stream())
                        .map(q -> q.getPart())
                        .toList(),
                List.of("part"));
    }

    // Guards against blaming the part of an answer that had been written for long when another request crashed it.
    @Test
    public void partOfLongAnswerIsNotAtRisk() {
        IntStream.rangeClosed(1, 9).forEach(i -> loseAndFindDown(i, Optional.of(Duration.ofSeconds(2))));
        assertTrue(detector.maySend("new", List.of("part")));
    }

    // Guards against an entry that knows of a crash only when it next connects to the upstream itself.
    @Test
    public void lossesCountAtOnceWhenAnotherEntryReportsTheCrash() {
        detector.onConnectionLost(upstream(1), interrupted("before", Optional.empty()));
        detector.onCrashNotice(noticeOf(1));
        detector.onConnectionLost(upstream(1), interrupted("after", Optional.empty()));
        assertEquals(
                sent.stream()
                        .flatMap(m -> m.getCrash().getRequestsList().stream())
                        .map(r -> r.getFingerprint())
                        .toList(),
                List.of("before", "after"));
    }

    @Test
    public void partKnownAsSoundIsClearedAtEntriesThatQuarantineIt() {
        CrashDetector other = new CrashDetector(new CrashAttribution(() -> 0), time, message -> {});
        detector.onAnswerSurvived(List.of("part"));
        IntStream.rangeClosed(1, 3).forEach(i -> {
            other.onConnectionLost(upstream(i), interrupted("request-" + i, Optional.empty()));
            other.onUpstreamDown(upstream(i));
        });
        assertFalse(other.maySend("new", List.of("part")));
        detector.onQuarantinedParts(other.quarantinedParts());
        sent.forEach(message -> other.onPartNotice(message.getParts()));
        assertTrue(other.maySend("new", List.of("part")));
    }
}
