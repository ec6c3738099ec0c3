import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An engine whose memory is taken by its runs is removed from the store's list, goes on to serve for a while and ends.
 * A request that arrived before the entry knew of the removal waits for the engine's memory.
 */
public final class GoneWhileWaiting {
    private static final String KEY = "key1";
    private static final String ADAPTER = "a1";
    private static final int LONG_RUNS = 29;
    private static final int PROMPT_TOKENS = 3_700;
    private static final int EVENTS = 250;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long REQUEST_AT_MILLIS = 450;
    private static final long RUNS_END_AT_MILLIS = 2_250;
    private static final long ENGINE_ENDS_AT_MILLIS = 3_000;
    private static final String SIDE = "127.0.0.21";
    private static final String ENTRY = "127.0.0.11";

    private GoneWhileWaiting() {}

    public static void main(String[] arguments) {
        Case.run(arguments, GoneWhileWaiting::run);
    }

    private static int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Store store = new Store();
        Map<String, Long> named = new ConcurrentHashMap<>();
        Engine engine = new Engine(fleet.engine(SIDE), "i-1", store, record, named);
        store.put("keyed.op", "config", Manifest.text(KEY, false));
        engine.start(Fleet.SERVICE, Fleet.ZONE);
        fleet.startSide("side-1", SIDE, store.address());
        fleet.startEntry("entry-1", ENTRY, store.address());
        if (!fleet.awaitReady(ENTRY, 20_000)) {
            record.line("the entry is not ready");
            return Case.NOT_RUN;
        }
        InetSocketAddress entry = fleet.callers(ENTRY);
        if (!Caller.send(entry, "first", ADAPTER, 100, 3, KEY).startsWith("HTTP/1.1 200")) {
            return Case.NOT_RUN;
        }
        Threads.sleep(4_000);
        for (int i = 0; i < LONG_RUNS; i++) {
            String id = "long-" + i;
            Threads.daemon(() -> send(entry, record, id)).start();
            Threads.sleep(60);
        }
        Threads.sleep(1_500);
        record.line("%d requests run", engine.runs().size() - 1);
        if (engine.runs().size() - 1 < LONG_RUNS) {
            return Case.NOT_RUN;
        }
        // The entry has just read the list and reads it again after its pause.
        long reads = store.answeredReads("keyed.servers");
        while (store.answeredReads("keyed.servers") == reads) {
            Threads.sleep(1);
        }
        long acked = record.now();
        if (trouble) {
            engine.leave();
            acked = record.now();
            record.line("the removal of i-1 from the list is acknowledged");
        }
        Threads.sleep(acked + REQUEST_AT_MILLIS - record.now());
        Thread last = Threads.daemon(() -> send(entry, record, "last"));
        last.start();
        Threads.sleep(acked + RUNS_END_AT_MILLIS - record.now());
        engine.endLongRuns();
        Threads.sleep(acked + ENGINE_ENDS_AT_MILLIS - record.now());
        if (trouble) {
            record.line("i-1 ends");
            engine.stop();
        }
        last.join(16_000);
        return judge(engine, record, acked, trouble);
    }

    private static void send(InetSocketAddress entry, Record record, String id) {
        try {
            record.line("request %s for m0/%s is sent", id, ADAPTER);
            String answer = Caller.send(entry, id, ADAPTER, PROMPT_TOKENS, EVENTS, KEY);
            boolean whole = answer.endsWith("0\r\n\r\n");
            record.line("request %s is answered: %s, %s", id, Caller.status(answer), whole ? "to its end" : "and cut");
        } catch (Exception e) {
            record.line("request %s: %s", id, e);
        }
    }

    private static int judge(Engine engine, Record record, long acked, boolean trouble) {
        List<Engine.Run> late = engine.runs().stream()
                .filter(r -> trouble && r.beganMillis() - acked > DRAIN_MILLIS)
                .toList();
        late.forEach(r -> record.line(
                "DRAIN: request %s reached i-1 %d ms after its removal was acknowledged",
                r.requestId(), r.beganMillis() - acked));
        boolean ran = engine.runs().stream().anyMatch(r -> r.requestId().equals("last"));
        return !late.isEmpty() ? Case.BROKEN : trouble || ran ? Case.HELD : Case.NOT_RUN;
    }
}
