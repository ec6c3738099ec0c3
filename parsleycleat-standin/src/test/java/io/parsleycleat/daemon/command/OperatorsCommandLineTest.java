package io.parsleycleat.daemon.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.connection.peer.NettyPeerTransport;
import io.parsleycleat.core.connection.platform.HttpLogClient;
import io.parsleycleat.core.connection.upstream.HttpClients;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.operators.OperatorAuthentication;
import io.parsleycleat.core.process.operators.OperatorsServer;
import io.parsleycleat.core.process.operators.OperatorsService;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.version.configuration.ConfigurationStore;
import io.parsleycleat.core.version.configuration.StoreParts;
import io.parsleycleat.core.version.configuration.StoreSettings;
import io.parsleycleat.core.version.configuration.keys.CutOffMonitor;
import io.parsleycleat.core.version.configuration.keys.CutOffPolicy;
import io.parsleycleat.core.version.configuration.keys.KeyFormat;
import io.parsleycleat.core.version.configuration.keys.KeyGate;
import io.parsleycleat.core.version.configuration.keys.Keys;
import io.parsleycleat.standin.http.FaultMode;
import io.parsleycleat.standin.http.Faults;
import io.parsleycleat.standin.platform.LogOptions;
import io.parsleycleat.standin.platform.LogStandIn;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class OperatorsCommandLineTest {
    private static final KeyFormat FIRST = Keys.newKey(Keys.FIRST_OPERATOR_ID);
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final StoreSettings SETTINGS = new StoreSettings(
            "configuration",
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            Duration.ofDays(1),
            2);

    private final EventLoopGroup loops = new NioEventLoopGroup(1);
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
    private final AsyncHttpClient http = HttpClients.create(loops);
    private LogStandIn log;
    private ConfigurationStore store;
    private KeyGate gate;
    private OperatorsServer server;
    private String address;

    /** What one command printed and how it ended. */
    private record Ended(int code, String out, String err) {
        JsonNode row(int index) throws IOException {
            return new ObjectMapper().readTree(out).get(index);
        }
    }

    @BeforeClass
    public void start() throws Exception {
        log = new LogStandIn(ANY_PORT, LogOptions.DEFAULT, TimeSource.SYSTEM);
        ProcessIdentity identity = new ProcessIdentity("vm", ProcessRole.ENTRY, "dc", "region", "127.0.0.1:1", 1);
        Membership membership = new Membership(() -> CompletableFuture.completedFuture(List.of()), TimeSource.SYSTEM);
        CutOffMonitor monitor = new CutOffMonitor(TimeSource.SYSTEM, membership, "dc", Duration.ofMinutes(5));
        NettyPeerTransport transport = new NettyPeerTransport(identity, loops, () -> 0, (from, frame) -> {});
        StoreParts parts = new StoreParts(
                identity,
                new HttpLogClient(http, log.uri()),
                transport,
                membership,
                monitor,
                scheduler,
                TimeSource.SYSTEM);
        store = new ConfigurationStore(parts, SETTINGS);
        CompletableFuture<Boolean> ready = new CompletableFuture<>();
        store.start(transport);
        gate = new KeyGate(store, monitor, CutOffPolicy.REFUSE_ISOLATED_GROUP);
        server = new OperatorsServer(
                new OperatorsService(store, membership, TimeSource.SYSTEM, scheduler, id -> List.of()),
                new OperatorAuthentication(
                        store, HexFormat.of().formatHex(Keys.hash(FIRST).toByteArray())));
        address = IpAddresses.format(server.start(ANY_PORT));
        scheduler.scheduleWithFixedDelay(
                () -> {
                    if (store.isReady()) {
                        ready.complete(true);
                    }
                },
                0,
                10,
                TimeUnit.MILLISECONDS);
        ready.get(20, TimeUnit.SECONDS);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        server.stop(Duration.ofSeconds(1));
        store.close();
        scheduler.shutdownNow();
        http.close();
        log.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Ended run(KeyFormat key, String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        if (!all.contains("--server")) {
            all.addAll(List.of("--server", address));
        }
        return runAsIs(Map.of(Command.KEY_VARIABLE, key.text()), all.toArray(String[]::new));
    }

    private static Ended runAsIs(Map<String, String> environment, String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = new CommandMain(environment, new PrintStream(out, true), new PrintStream(err, true)).run(arguments);
        return new Ended(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private Ended putAccount(String id, String... more) {
        List<String> all = new ArrayList<>(List.of("account", "put", id, "--rate", "10", "--burst", "20"));
        all.addAll(List.of(more));
        return run(FIRST, all.toArray(String[]::new));
    }

    @Test
    public void wrongUsageEndsWithTwo() {
        assertEquals(runAsIs(Map.of(), "account", "list").code(), 2);
        assertEquals(runAsIs(Map.of(), "acount", "list").code(), 2);
        assertEquals(run(FIRST, "account", "put", "x", "--rate", "much").code(), 2);
        assertEquals(run(FIRST, "account", "list", "--server", "nowhere").code(), 2);
    }

    @Test
    public void everyCommandHasHelpWithAnExample() {
        Ended commands = runAsIs(Map.of(), "--help");
        assertEquals(commands.code(), 0);
        commands.out()
                .lines()
                .filter(line -> line.startsWith("  parsleycleat "))
                .map(line -> line.strip().split(" ", -1))
                .forEach(words -> {
                    Ended help = words[1].equals("explain")
                            ? runAsIs(Map.of(), words[1], "--help")
                            : runAsIs(Map.of(), words[1], words[2], "--help");
                    assertEquals(help.code(), 0, help.err());
                    assertTrue(help.out().contains("example: parsleycleat " + words[1]), help.out());
                });
    }

    @Test
    public void aWrongKeyIsRefused() {
        assertEquals(run(Keys.newKey(Keys.FIRST_OPERATOR_ID), "account", "list").code(), 3);
        assertEquals(run(Keys.newKey("other"), "account", "list").code(), 3);
    }

    @Test
    public void anUnreachableServerEndsWithFive() {
        assertEquals(run(FIRST, "account", "list", "--server", "127.0.0.1:1").code(), 5);
        assertEquals(putAccount("x", "--server", "127.0.0.1:1").code(), 5);
    }

    @Test
    public void aChangeIsReadBackAndARepeatIsAnsweredTheSame() throws IOException {
        Ended first = putAccount("tailors", "--change-id", "put-1", "--output", "json");
        Ended second = putAccount("tailors", "--change-id", "put-1", "--output", "json");
        assertEquals(first.code(), 0, first.err());
        assertEquals(second, first);
        Ended list = run(FIRST, "account", "list", "--output", "json");
        assertTrue(list.out().contains("\"tailors\""), list.out());
        Ended conflict = putAccount("tailors", "--expected-version", "0");
        assertEquals(conflict.code(), 3);
        assertTrue(conflict.err().contains("3010"), conflict.err());
        Ended other = putAccount("others", "--change-id", "put-1");
        assertTrue(other.code() == 3 && other.err().contains("used for another change"), other.err());
    }

    @Test
    public void aKeyIsIssuedOnceAndWithdrawn() throws IOException {
        putAccount("shops");
        Ended first = run(FIRST, "key", "create", "--account", "shops", "--change-id", "key-1", "--output", "json");
        Ended repeat = run(FIRST, "key", "create", "--account", "shops", "--change-id", "key-1", "--output", "json");
        assertEquals(repeat, first);
        String key = first.row(0).get("key").asText();
        assertEquals(gate.check(key).get().getAccountId(), "shops");
        assertTrue(!run(FIRST, "audit", "list")
                .out()
                .contains(KeyFormat.parse(key).orElseThrow().secret()));
        String id = first.row(0).get("id").asText();
        assertEquals(run(FIRST, "key", "withdraw", id).code(), 0);
        assertEquals(gate.check(key).getLeft().code().number(), 1003);
        assertTrue(run(FIRST, "key", "list").out().contains("withdrawn"));
    }

    @Test
    public void anOperatorsKeyStopsWorkingWhenItIsWithdrawn() throws IOException {
        Ended issued = run(FIRST, "key", "create", "--operator", "--output", "json");
        KeyFormat key = KeyFormat.parse(issued.row(0).get("key").asText()).orElseThrow();
        assertEquals(run(key, "fleet", "list").code(), 0);
        assertTrue(gate.check(key.text()).isLeft(), "an operator's key opens routes");
        assertEquals(run(FIRST, "key", "withdraw", key.id()).code(), 0);
        assertEquals(run(key, "fleet", "list").code(), 3);
    }

    @Test
    public void duringALogOutageAChangeIsUnknownAndAWithdrawalInForce() throws IOException {
        putAccount("guests");
        Ended issued = run(FIRST, "key", "create", "--account", "guests", "--output", "json");
        log.setFaults(Faults.of(FaultMode.REFUSE));
        try {
            Ended put = putAccount("late", "--change-id", "late-1");
            assertEquals(put.code(), 4, put.out());
            assertTrue(put.err().contains("late-1"), put.err());
            Ended withdrawn =
                    run(FIRST, "key", "withdraw", issued.row(0).get("id").asText());
            assertEquals(withdrawn.code(), 0, withdrawn.err());
            assertTrue(withdrawn.out().contains("not yet recorded"), withdrawn.out());
            assertEquals(
                    gate.check(issued.row(0).get("key").asText())
                            .getLeft()
                            .code()
                            .number(),
                    1003);
        } finally {
            log.setFaults(Faults.NONE);
        }
        assertEquals(putAccount("late", "--change-id", "late-1").code(), 0);
    }

    @Test
    public void aNewSecretFitsItsHash() {
        Ended made = runAsIs(Map.of(), "key", "new-secret");
        String[] row = made.out().lines().skip(1).findFirst().orElseThrow().split(" +", -1);
        KeyFormat key = KeyFormat.parse(row[0]).orElseThrow();
        assertEquals(HexFormat.of().formatHex(Keys.hash(key).toByteArray()), row[1]);
    }
}
