import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An adapter is in use all the time while operators name its versions 2 to 5, one every 1.8 s. Nothing else happens.
 */
public final class SuccessiveVersions {
    private static final String KEY = "key1";
    private static final String ADAPTER = "a1";
    private static final int NEWEST = 5;
    private static final long GAP_MILLIS = 1_800;
    private static final long VERSION_MILLIS = 5_000;
    private static final int EVENTS = 40;
    private static final String SIDE = "127.0.0.21";
    private static final String ENTRY = "127.0.0.11";

    private SuccessiveVersions() {}

    public static void main(String[] arguments) {
        Case.run(arguments, SuccessiveVersions::run);
    }

    private static int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Store store = new Store();
        Map<String, Long> named = new ConcurrentHashMap<>();
        Engine engine = new Engine(fleet.engine(SIDE), "i-1", store, record, named);
        store.put("keyed.op", "config", Manifest.text(KEY));
        engine.start(Fleet.SERVICE, Fleet.ZONE);
        fleet.startSide("side-1", SIDE, store.address());
        fleet.startEntry("entry-1", ENTRY, store.address());
        if (!fleet.awaitReady(ENTRY, 20_000)) {
            record.line("the entry is not ready");
            return Case.NOT_RUN;
        }
        InetSocketAddress entry = fleet.callers(ENTRY);
        for (int i = 0; i < 80; i++) {
            String id = "r-" + i;
            Threads.daemon(() -> {
                        Threads.sleep(Integer.parseInt(id.substring(2)) * 200L);
                        send(entry, record, id);
                    })
                    .start();
        }
        Threads.sleep(4_000);
        long[] acked = new long[NEWEST + 1];
        for (int version = 2; version <= (trouble ? NEWEST : 2); version++) {
            named.put(ADAPTER, (long) version);
            store.put(
                    "keyed.op",
                    "version/m0." + ADAPTER,
                    "{\"model\":\"m0\",\"adapter\":\"" + ADAPTER + "\",\"version\":" + version + "}");
            acked[version] = record.now();
            record.line("version %d of %s is acknowledged", version, ADAPTER);
            Threads.sleep(GAP_MILLIS);
        }
        Threads.sleep(acked[2] + 9_000 - record.now());
        return judge(engine, record, acked);
    }

    private static void send(InetSocketAddress entry, Record record, String id) {
        try {
            record.line("request %s for m0/%s is sent", id, ADAPTER);
            record.line("request %s is answered: %s", id, Caller.status(Caller.send(entry, id, ADAPTER, 100, EVENTS, KEY)));
        } catch (Exception e) {
            record.line("request %s: %s", id, e);
        }
    }

    private static int judge(Engine engine, Record record, long[] acked) {
        int late = 0;
        boolean anyNew = false;
        for (Engine.Run run : engine.runs()) {
            anyNew |= run.version() >= 2;
            int newer = (int) run.version() + 1;
            if (newer <= NEWEST && acked[newer] > 0 && run.beganMillis() - acked[newer] > VERSION_MILLIS) {
                late++;
                record.line(
                        "VERSION: request %s began on %s@%d, %d ms after version %d was acknowledged",
                        run.requestId(), run.adapter(), run.version(), run.beganMillis() - acked[newer], newer);
            }
        }
        return late > 0 ? Case.BROKEN : anyNew ? Case.HELD : Case.NOT_RUN;
    }
}
