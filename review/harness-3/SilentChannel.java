import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The channels of a side to the store go silent for good. More than contact_ms later operators name new versions of
 * adapters that the engine holds. More than version_ms after that a caller asks for each of them for the first time.
 */
public final class SilentChannel {
    private static final String KEY = "key1";
    private static final List<String> ADAPTERS = List.of("a1", "a2", "a3", "a4");
    private static final long CONTACT_MILLIS = 3_000;
    private static final long VERSION_MILLIS = 5_000;
    private static final String SIDE = "127.0.0.21";
    private static final String ENTRY = "127.0.0.11";

    private SilentChannel() {}

    public static void main(String[] arguments) {
        Case.run(arguments, SilentChannel::run);
    }

    private static int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Store store = new Store();
        Relay sideToStore = new Relay(store.address());
        Map<String, Long> named = new ConcurrentHashMap<>();
        Engine engine = new Engine(fleet.engine(SIDE), "i-1", store, record, named);
        store.put("keyed.op", "config", Manifest.text(KEY));
        engine.start(Fleet.SERVICE, Fleet.ZONE);
        fleet.startSide("side-1", SIDE, sideToStore.address());
        fleet.startEntry("entry-1", ENTRY, store.address());
        if (!fleet.awaitReady(ENTRY, 20_000)) {
            record.line("the entry is not ready");
            return Case.NOT_RUN;
        }
        InetSocketAddress entry = fleet.callers(ENTRY);
        if (!allServed(entry, record, "first")) {
            return Case.NOT_RUN;
        }
        // The read of the side that begins now waits for ten seconds.
        store.put("keyed.op", "version/other", "{\"model\":\"m0\",\"adapter\":\"other\",\"version\":1}");
        Threads.sleep(700);
        if (trouble) {
            record.line("%d channels of the side to the store go silent for good; new ones work", sideToStore.silence());
        }
        Threads.sleep(CONTACT_MILLIS + 200);
        for (String adapter : ADAPTERS) {
            named.put(adapter, 2L);
            store.put(
                    "keyed.op",
                    "version/m0." + adapter,
                    "{\"model\":\"m0\",\"adapter\":\"" + adapter + "\",\"version\":2}");
        }
        long acked = record.now();
        record.line("version 2 of %s is acknowledged", ADAPTERS);
        Threads.sleep(VERSION_MILLIS + 300);
        if (!allServed(entry, record, "last")) {
            return Case.NOT_RUN;
        }
        return judge(engine, record, acked);
    }

    private static boolean allServed(InetSocketAddress entry, Record record, String name) throws Exception {
        boolean all = true;
        for (String adapter : ADAPTERS) {
            String id = name + "-" + adapter;
            record.line("request %s for m0/%s is sent", id, adapter);
            String answer = Caller.send(entry, id, adapter, 100, 3, KEY);
            record.line("request %s is answered: %s", id, Caller.status(answer));
            all &= answer.startsWith("HTTP/1.1 200");
        }
        return all;
    }

    private static int judge(Engine engine, Record record, long acked) {
        List<Engine.Run> late = engine.runs().stream()
                .filter(r -> r.beganMillis() - acked > VERSION_MILLIS && r.version() < 2)
                .toList();
        late.forEach(r -> record.line(
                "VERSION: request %s began on %s@%d, %d ms after version 2 was acknowledged",
                r.requestId(), r.adapter(), r.version(), r.beganMillis() - acked));
        return late.isEmpty() ? Case.HELD : Case.BROKEN;
    }
}
