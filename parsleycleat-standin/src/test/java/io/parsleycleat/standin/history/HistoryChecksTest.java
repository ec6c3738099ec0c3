package io.parsleycleat.standin.history;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.standin.history.HistoryEvent.Answer;
import io.parsleycleat.standin.history.HistoryEvent.ChangeAccepted;
import io.parsleycleat.standin.history.HistoryEvent.Fault;
import io.parsleycleat.standin.history.HistoryEvent.Invocation;
import io.parsleycleat.standin.history.HistoryEvent.ItemRead;
import io.parsleycleat.standin.history.HistoryEvent.KeyIssued;
import io.parsleycleat.standin.history.HistoryEvent.KeyWithdrawn;
import io.parsleycleat.standin.history.HistoryEvent.Leaving;
import io.parsleycleat.standin.history.HistoryEvent.Limit;
import io.parsleycleat.standin.history.HistoryEvent.Ownership;
import io.parsleycleat.standin.history.HistoryEvent.PlannedStop;
import io.parsleycleat.standin.history.HistoryEvent.Unload;
import io.parsleycleat.standin.history.HistoryEvent.UpstreamCrash;
import io.parsleycleat.standin.history.HistoryEvent.UpstreamRun;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class HistoryChecksTest {
    private static final HistoryChecks CHECKS =
            new HistoryChecks(Duration.ofSeconds(5), Duration.ofSeconds(5), Duration.ofSeconds(15));
    private static final int NOT_RUN = ResultCode.QUEUE_FULL.number();
    private static final int LOST = ResultCode.SIDE_LOST.number();

    private static Invocation ask(long at, String request, String target, String version) {
        return new Invocation(at, request, "k1", target, version, true, "");
    }

    private static Invocation order(long at, String request, String idempotencyKey) {
        return new Invocation(at, request, "k1", "orders", "", false, idempotencyKey);
    }

    private static UpstreamRun run(long at, String request, String target, String version, String... seen) {
        return new UpstreamRun(at, at + 100, "e1", request, target, version, 10, "text", List.of(seen));
    }

    private static Answer done(long at, String request) {
        return new Answer(at, request, 0, "", "text");
    }

    private static HistoryEvent[] with(HistoryEvent... events) {
        List<HistoryEvent> all = new ArrayList<>(List.of(
                new KeyIssued(0, "k1", "a1", "secret-one"),
                new KeyIssued(0, "k2", "a2", "secret-two"),
                new Limit(0, "a1", 10, 30),
                new Ownership(0, "silk", "a1", false),
                new Ownership(0, "orders", "", false),
                new Ownership(0, "board", "", true)));
        all.addAll(Arrays.asList(events));
        return all.toArray(HistoryEvent[]::new);
    }

    private static HistoryEvent[] seen(String text) {
        return with(ask(1, "r", "silk", "1"), run(2, "r", "silk", "1", "model=silk", text), done(200, "r"));
    }

    private static Object[] accepted(HistoryEvent... events) {
        return new Object[] {Set.of(), with(events)};
    }

    private static Object[] rejected(String check, HistoryEvent... events) {
        return new Object[] {Set.of(check), with(events)};
    }

    @DataProvider
    public Object[][] histories() {
        Invocation ask = ask(1, "r", "silk", "1");
        Invocation keyless = new Invocation(1, "r", "", "silk", "1", true, "");
        Invocation free = new Invocation(1, "r", "", "board", "1", true, "");
        Invocation foreign = new Invocation(1, "r", "k2", "silk", "1", true, "");
        UpstreamRun run = run(2, "r", "silk", "1");
        Answer done = done(200, "r");
        return new Object[][] {
            accepted(ask, run, done),
            rejected("right adapter and version", ask, run(2, "r", "silk", "2"), done),
            rejected("right adapter and version", ask(1, "r", "lace", "1"), run, done),
            rejected("right adapter and version", ask(1, "r", "silk", ""), run, new Answer(200, "r", 0, "2", "text")),
            accepted(ask(1, "r", "silk", ""), run, new Answer(200, "r", 0, "1", "text")),
            rejected("adapter in use is not evicted", ask, run, done, new Unload(50, "e1", "silk", "1")),
            accepted(ask, run, done, new Unload(150, "e1", "silk", "1"), new Unload(50, "e1", "silk", "2")),
            rejected("only the account whose key came", keyless, run, done),
            rejected("only the account whose key came", foreign, run, done),
            accepted(free, run(2, "r", "board", "1"), done),
            {Set.of("no upstream sees a key"), seen("Authorization: Bearer secret-one")},
            {Set.of("no upstream sees a key"), seen("/orders?key=secret-two")},
            {Set.of(), seen("Authorization: none")},
            rejected(
                    "withdrawn key stops working",
                    new KeyWithdrawn(1, "k1"),
                    ask(10, "r", "silk", "1"),
                    run(5002, "r", "silk", "1"),
                    done(6000, "r")),
            accepted(
                    new KeyWithdrawn(1, "k1"), ask(10, "r", "silk", "1"), run(5001, "r", "silk", "1"), done(6000, "r")),
        };
    }

    @DataProvider
    public Object[][] outcomes() {
        Invocation ask = ask(1, "r", "silk", "1");
        UpstreamRun run = run(2, "r", "silk", "1");
        Invocation order = order(1, "o", "key");
        UpstreamRun recorded = run(2, "o", "orders", "");
        Invocation repeat = order(300, "o2", "key");
        return new Object[][] {
            rejected("whole answer to its own request", ask, run, new Answer(200, "r", 0, "", "tex")),
            rejected("whole answer to its own request", ask, done(200, "r")),
            rejected("not run is true", ask, run, new Answer(1, "r", NOT_RUN, "", "")),
            accepted(ask, new Answer(5, "r", NOT_RUN, "", "")),
            accepted(ask, run, new Answer(5, "r", LOST, "", "")),
            accepted(order, recorded, done(200, "o"), repeat, done(400, "o2")),
            rejected(
                    "non-idempotent at most once",
                    order,
                    recorded,
                    done(200, "o"),
                    repeat,
                    run(310, "o2", "orders", ""),
                    done(400, "o2")),
            rejected(
                    "non-idempotent at most once",
                    order(1, "o", ""),
                    recorded,
                    run(3, "o", "orders", ""),
                    done(200, "o")),
            accepted(ask, run, run(150, "r", "silk", "1"), done(200, "r")),
            rejected("every request is answered", ask, run),
            rejected("every request is answered", ask, run, done(200, "r"), done(201, "r")),
        };
    }

    @DataProvider
    public Object[][] operations() {
        Invocation ask = ask(1, "r", "silk", "1");
        UpstreamRun run = run(2, "r", "silk", "1");
        return new Object[][] {
            rejected("leaving upstream gets nothing new", new Leaving(0, "e1"), ask, late(5001), done(5200, "r")),
            accepted(new Leaving(0, "e1"), ask, late(5000), done(5200, "r")),
            rejected(
                    "planned stop cuts nothing",
                    new PlannedStop(1, "side"),
                    ask,
                    run,
                    new Answer(9, "r", LOST, "", "")),
            accepted(
                    new PlannedStop(1, "side"),
                    new Fault(0, 5, "kill", "side"),
                    ask,
                    run,
                    new Answer(9, "r", LOST, "", "")),
            rejected(
                    "planned stop cuts nothing",
                    new PlannedStop(1, "side"),
                    new Fault(10, 12, "kill", "side"),
                    ask,
                    run,
                    new Answer(9, "r", LOST, "", "")),
            rejected("accepted configuration stays", new ChangeAccepted(1, "x", 3), new ItemRead(15_002, "p", "x", 2)),
            rejected("accepted configuration stays", new ItemRead(1, "p", "x", 3), new ItemRead(2, "p", "x", 2)),
            accepted(
                    new ChangeAccepted(1, "x", 3),
                    new ItemRead(15_001, "p", "x", 2),
                    new ItemRead(15_002, "p", "x", 3)),
            accepted(new ItemRead(1, "p", "x", 3), new ItemRead(2, "q", "x", 2), new ItemRead(3, "p", "y", 2)),
            rejected("two crashes for one request", crash(1, "e1"), crash(2, "e2"), crash(3, "e1")),
            accepted(crash(1, "e1"), crash(2, "e2")),
        };
    }

    @DataProvider
    public Object[][] rates() {
        return new Object[][] {
            accepted(spend(0, 0, 0)),
            rejected("rate and burst", spend(0, 0, 0, 999)),
            accepted(spend(0, 0, 0, 1000)),
            rejected("rate and burst", spend(0, 0, 0, 1000, 1500)),
            accepted(spend(0, 0, 0, 9000, 9000, 9000)),
            rejected("rate and burst", spend(0, 0, 0, 9000, 9000, 9000, 9000)),
        };
    }

    /** Runs of ten tokens at each of some times, against a rate of ten tokens a second and a burst of thirty. */
    private static HistoryEvent[] spend(long... times) {
        return IntStream.range(0, times.length)
                .mapToObj(i -> "r" + i + "@" + times[i])
                .flatMap(r -> {
                    long at = Long.parseLong(r.substring(r.indexOf('@') + 1));
                    return Stream.of(ask(at, r, "silk", "1"), run(at, r, "silk", "1"), done(at + 100, r));
                })
                .toArray(HistoryEvent[]::new);
    }

    private static UpstreamRun late(long at) {
        return run(at, "r", "silk", "1");
    }

    private static UpstreamCrash crash(long at, String upstream) {
        return new UpstreamCrash(at, upstream, "bad");
    }

    @Test(dataProvider = "outcomes")
    public void acceptsAndRejectsOutcomes(Set<String> failing, HistoryEvent[] events) {
        assertEquals(failing(events), failing);
    }

    @Test(dataProvider = "operations")
    public void acceptsAndRejectsOperations(Set<String> failing, HistoryEvent[] events) {
        assertEquals(failing(events), failing);
    }

    @Test(dataProvider = "rates")
    public void acceptsAndRejectsRates(Set<String> failing, HistoryEvent[] events) {
        assertEquals(failing(events), failing);
    }

    @Test
    public void keepsEventsAsLines() {
        History history = History.of(seen("secret"));
        assertEquals(History.parse(history.toJsonLines()), history);
    }

    @Test(dataProvider = "histories")
    public void acceptsAndRejects(Set<String> failing, HistoryEvent[] events) {
        assertEquals(failing(events), failing);
    }

    private static Set<String> failing(HistoryEvent... events) {
        return CHECKS.check(History.of(events)).stream().map(Violation::check).collect(Collectors.toSet());
    }
}
