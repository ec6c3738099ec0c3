package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.connection.caller.CallerLimits;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.Account;
import io.parsleycleat.gateway.version.routes.RequestKind;
import io.parsleycleat.gateway.version.routes.Route;
import io.parsleycleat.gateway.version.routes.RoutingTable;
import io.parsleycleat.gateway.version.routes.ServiceShare;
import io.parsleycleat.gateway.version.routes.ServiceSpec;
import io.parsleycleat.gateway.version.upstreams.Upstream;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.StartGrant;
import io.parsleycleat.wire.peer.Frame;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** Guards accepted requests whose route gets another timeout while they are open. */
public class RaisedTimeoutTest extends ForwardingFixture {
    private static final long ANSWER_LIMIT_SECONDS = 20;
    private static final Duration OLD_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration NEW_TIMEOUT = Duration.ofSeconds(20);
    /** How long after the old timeout the answers begin to go on. */
    private static final Duration LATER = Duration.ofMillis(500);

    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String LAST_EVENT = "id: 2\ndata: b\n\n";
    private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 30\r\n\r\n";
    private static final String PLAIN_HEAD = "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 4\r\n\r\n";
    /** A budget of which one entry alone never has enough for a request. */
    private static final Account LIMITED = new Account("weavers", Set.of("limited"), null, false, 0.1, 1, 1);

    /** What a request waits for when the timeout is raised. */
    enum Stage {
        BUDGET,
        SEARCH,
        SENT,
        HEAD,
        PART
    }

    private final CountDownLatch oldTimeoutPassed = new CountDownLatch(1);

    /** Guards against a request that is ended at the timeout which its route had when it arrived. */
    @Test
    public void requestsOutliveTheTimeoutTheyWereAcceptedWith() throws Exception {
        SilentPeers peers = new SilentPeers();
        entry.budgetPeers = peers;
        apply(1, OLD_TIMEOUT);
        entry.limitAccounts("other", List.of(ACCOUNT, LIMITED));
        BlockingQueue<Runnable> starts = holdStarts();
        Map<String, RecordingCaller> callers = new TreeMap<>();
        try (ScriptedUpstream one = new ScriptedUpstream(this::answer)) {
            addServices(one.address());
            for (RequestKind kind : RequestKind.values()) {
                Arrays.stream(Stage.values()).forEach(s -> callers.put(kind + " " + s, send(kind, s)));
            }
            loop.schedule(oldTimeoutPassed::countDown, OLD_TIMEOUT.plus(LATER).toMillis(), TimeUnit.MILLISECONDS);
            peers.draws.take();
            List<Runnable> grants = List.of(starts.take(), starts.take(), starts.take());
            for (int i = 0; i < RequestKind.values().length * 3; i++) {
                one.takeRequest();
            }
            apply(2, NEW_TIMEOUT);
            SilentUpstreamTest.await(oldTimeoutPassed);
            grants.forEach(Runnable::run);
            entry.budgets.setAccounts(List.of(ACCOUNT, withoutLimit()));
            Map<String, String> answers = new TreeMap<>();
            for (Map.Entry<String, RecordingCaller> c : callers.entrySet()) {
                answers.put(c.getKey(), c.getValue().answer.get(ANSWER_LIMIT_SECONDS, TimeUnit.SECONDS));
            }
            Map<String, String> whole = new TreeMap<>(
                    callers.keySet().stream().collect(Collectors.toMap(k -> k, RaisedTimeoutTest::wholeAnswer)));
            assertEquals(answers, whole);
        }
    }

    private boolean answer(String request, Socket connection) throws IOException {
        boolean stream = request.contains("/STREAM-");
        String head = stream ? STREAM_HEAD : PLAIN_HEAD;
        String first = stream ? FIRST_EVENT : "do";
        String rest = stream ? LAST_EVENT : "ne";
        String before = "";
        if (request.contains("/HEAD ")) {
            before = head;
        } else if (request.contains("/PART ")) {
            before = head + first;
        }
        ScriptedUpstream.write(connection, before);
        SilentUpstreamTest.await(oldTimeoutPassed);
        ScriptedUpstream.write(connection, (head + first + rest).substring(before.length()));
        return true;
    }

    private static String wholeAnswer(String request) {
        return request.startsWith("STREAM")
                ? "200 streamed " + (FIRST_EVENT + LAST_EVENT).replace("\n", ";")
                : "200 done";
    }

    private RecordingCaller send(RequestKind kind, Stage stage) {
        String service = stage == Stage.SEARCH ? "e" : "s";
        String key = stage == Stage.BUDGET ? "limited" : "key";
        return entry.send(
                "/" + kind + "-" + service + "/" + stage,
                stage == Stage.SEARCH
                        ? List.of(Map.entry("key", key), Map.entry("adapter", "a"))
                        : List.of(Map.entry("key", key)));
    }

    private static Account withoutLimit() {
        return new Account("weavers", Set.of("limited"), null, false, 0, 0, 1);
    }

    /** Returns the starts for which the engine's side is asked, each of which grants it. */
    private BlockingQueue<Runnable> holdStarts() {
        BlockingQueue<Runnable> starts = new LinkedBlockingQueue<>();
        network.node("127.0.0.1:" + TestEntry.SIDE_PORT).register(Frame.BodyCase.GATE, (from, frame) -> {
            if (frame.getGate().hasStart()) {
                StartGrant.Builder grant = StartGrant.newBuilder()
                        .setEngineId("e")
                        .setEngineBorn(1)
                        .setVersion(1);
                starts.add(() -> from.reply(
                        frame,
                        Frame.newBuilder().setGate(GateMessage.newBuilder().setGrant(grant))));
            }
        });
        return starts;
    }

    private void addServices(InetSocketAddress address) {
        directory.put(new Upstream("s", "s", address, "here", 1, false, 64, Map.of()));
        directory.put(new Upstream("e", "e", address, "here", 1, false, 64, Map.of("m", 1L, "m/a", 1L)));
    }

    private void apply(long version, Duration timeout) throws InterruptedException {
        List<Route> routes = Arrays.stream(RequestKind.values())
                .flatMap(k -> List.of(route(k, "s", timeout), route(k, "e", timeout)).stream())
                .toList();
        loop.submit(() -> {
                    configuration.applyIfNewer(new RoutingTable(
                            version,
                            routes,
                            List.of(
                                    new ServiceSpec("s", "/h", 10, null),
                                    new ServiceSpec("e", "/h", 10, TestEntry.ENGINE_SPEC)),
                            List.of(ACCOUNT, LIMITED),
                            CallerLimits.DEFAULT));
                    freshness.confirm(freshness.now());
                })
                .sync();
    }

    private static Route route(RequestKind kind, String service, Duration timeout) {
        return new Route(
                kind + "-" + service,
                "h",
                "/" + kind + "-" + service + "/",
                kind,
                List.of(new ServiceShare(service, 1)),
                timeout,
                Duration.ofSeconds(10),
                Duration.ZERO,
                1,
                2,
                false,
                true);
    }
}
