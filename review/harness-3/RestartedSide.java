import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Two adapters of an engine are in use when operators name a new version of each. The process beside the engine is
 * killed and starts again. More than version_ms after the acknowledgement callers ask for both adapters.
 */
public final class RestartedSide {
    private static final String KEY = "key1";
    private static final List<String> ADAPTERS = List.of("a1", "a2");
    /** How long the adapters have been in use when their versions are named. */
    private static final long BUSY_MILLIS = 2_200;
    private static final long VERSION_MILLIS = 5_000;
    /** How many requests ask for each adapter more than version_ms after the acknowledgement, one every 100 ms. */
    private static final int LAST_REQUESTS = 14;
    private static final int LONG_EVENTS = 258;
    private static final String SIDE = "127.0.0.21";
    private static final String ENTRY = "127.0.0.11";

    private RestartedSide() {}

    public static void main(String[] arguments) {
        Case.run(arguments, RestartedSide::run);
    }

    private static int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Store store = new Store();
        Map<String, Long> named = new ConcurrentHashMap<>();
        Engine engine = new Engine(fleet.engine(SIDE), "i-1", store, record, named);
        store.put("keyed.op", "config", Manifest.text(KEY));
        engine.start(Fleet.SERVICE, Fleet.ZONE);
        Process side = fleet.startSide("side-1", SIDE, store.address());
        fleet.startEntry("entry-1", ENTRY, store.address());
        if (!fleet.awaitReady(ENTRY, 20_000)) {
            record.line("the entry is not ready");
            return Case.NOT_RUN;
        }
        InetSocketAddress entry = fleet.callers(ENTRY);
        for (String adapter : ADAPTERS) {
            if (!send(entry, record, "first-" + adapter, adapter, 3)) {
                return Case.NOT_RUN;
            }
        }
        ADAPTERS.forEach(a -> Threads.daemon(() -> send(entry, record, "long-" + a, a, LONG_EVENTS)).start());
        Threads.sleep(BUSY_MILLIS);
        for (String adapter : ADAPTERS) {
            named.put(adapter, 2L);
            store.put(
                    "keyed.op",
                    "version/m0." + adapter,
                    "{\"model\":\"m0\",\"adapter\":\"" + adapter + "\",\"version\":2}");
        }
        long acked = record.now();
        record.line("version 2 of %s is acknowledged", ADAPTERS);
        Threads.sleep(3_200);
        if (trouble) {
            record.line("the side is killed");
            side.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            Threads.sleep(200);
            record.line("the side starts again");
            fleet.startSide("side-1", SIDE, store.address());
        }
        Threads.sleep(acked + VERSION_MILLIS + 100 - record.now());
        List<Thread> last = new ArrayList<>();
        for (int i = 0; i < LAST_REQUESTS; i++) {
            for (String adapter : ADAPTERS) {
                String id = "last-" + adapter + "-" + i;
                last.add(Threads.daemon(() -> send(entry, record, id, adapter, 3)));
                last.get(last.size() - 1).start();
            }
            Threads.sleep(100);
        }
        for (Thread thread : last) {
            thread.join(16_000);
        }
        return judge(engine, record, acked);
    }

    private static boolean send(InetSocketAddress entry, Record record, String id, String adapter, int events) {
        try {
            record.line("request %s for m0/%s is sent", id, adapter);
            String answer = Caller.send(entry, id, adapter, 100, events, KEY);
            record.line("request %s is answered: %s", id, Caller.status(answer));
            return answer.startsWith("HTTP/1.1 200");
        } catch (Exception e) {
            record.line("request %s: %s", id, e);
            return false;
        }
    }

    private static int judge(Engine engine, Record record, long acked) {
        List<Engine.Run> late = engine.runs().stream()
                .filter(r -> ADAPTERS.contains(r.adapter()))
                .filter(r -> r.beganMillis() - acked > VERSION_MILLIS && r.version() < 2)
                .toList();
        late.forEach(r -> record.line(
                "VERSION: request %s began on %s@%d, %d ms after version 2 was acknowledged",
                r.requestId(), r.adapter(), r.version(), r.beganMillis() - acked));
        boolean anyLast = engine.runs().stream().anyMatch(r -> r.requestId().startsWith("last-"));
        return !late.isEmpty() ? Case.BROKEN : anyLast ? Case.HELD : Case.NOT_RUN;
    }
}
