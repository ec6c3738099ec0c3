import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A manifest takes a key away. Later the store is away for a moment and comes back from a copy some seconds old, while
 * an entry is killed and started again. Requests with the key that are sent later than revoke_ms after the
 * acknowledgement must not run, on any machine.
 */
final class Case7 {
    private static final int ENTRY = 11;
    private static final int APP = 31;
    private static final int WARM_MILLIS = 3_000;
    /** How much older than the return of the store its copy is. */
    private static final int COPY_AGE_MILLIS = 6_000;

    private static final int REVOKED_AFTER_COPY_MILLIS = 300;
    private static final int AWAY_MILLIS = 1_000;
    private static final int RESTART_DELAY_MILLIS = 300;
    /** The operator and the engines write again what they wrote. */
    private static final int WRITTEN_AGAIN_MILLIS = 1_700;

    private static final int REST_MILLIS = 4_000;
    private static final int INTERVAL_MILLIS = 40;
    private static final long REVOKE_NANOS = 5_000_000_000L;

    private Case7() {}

    public static void main(String[] arguments) {
        System.exit(Stage.play(arguments[0], Case7::play));
    }

    private static String manifest(int version, String... keys) {
        return Manifest.of(
                version,
                Manifest.route("r-o", "/o/", "unsafe", "orders", false),
                Manifest.plainService("orders"),
                Manifest.tenant("tailors", keys));
    }

    private static int play(Stage stage) throws IOException, InterruptedException {
        stage.store.put("keyed.op", "config", manifest(2, "keykept", "keygone"));
        Engine engine =
                new Engine(stage, "i-o1", "orders", stage.ip(APP), Stage.APP_PORT, "bole", false);
        stage.startEntry(ENTRY);
        if (!stage.awaitReady(ENTRY, 30_000)) {
            return Stage.CANNOT_RUN;
        }
        Map<String, Long> sent = new ConcurrentHashMap<>();
        boolean[] sending = {true};
        Thread callers = new Thread(() -> callers(stage, sent, sending), "callers");
        callers.start();
        Stage.sleep(WARM_MILLIS);
        boolean warm = stage.runs().size() > 20;
        stage.store.takeCopy();
        stage.record("the copy of the store is of this moment");
        Stage.sleep(REVOKED_AFTER_COPY_MILLIS);
        long acknowledged = stage.store.put("keyed.op", "config", manifest(3, "keykept"));
        stage.record("manifest 3 without keygone is acknowledged");
        Stage.sleep(COPY_AGE_MILLIS - REVOKED_AFTER_COPY_MILLIS - AWAY_MILLIS);
        if (stage.trouble) {
            stage.store.close();
            stage.record("the store is away");
            stage.kill("parsleycleat-entry", ENTRY);
            Stage.sleep(RESTART_DELAY_MILLIS);
            stage.startEntry(ENTRY);
            Stage.sleep(AWAY_MILLIS - RESTART_DELAY_MILLIS);
            stage.store.restore();
            stage.store.start();
            stage.record("the store is back from its copy");
            Stage.sleep(WRITTEN_AGAIN_MILLIS);
            stage.store.put("keyed.op", "config", manifest(3, "keykept"));
            engine.describe();
            stage.record("manifest 3 is written again");
        }
        Stage.sleep(REST_MILLIS);
        sending[0] = false;
        callers.join(10_000);
        long late = stage.runs().stream()
                .filter(r -> r.requestId().startsWith("gone-")
                        && sent.get(r.requestId()) - acknowledged > REVOKE_NANOS)
                .peek(r -> stage.record("ran: " + r.requestId() + ", sent "
                        + (sent.get(r.requestId()) - acknowledged) / 1_000_000
                        + " ms after the acknowledgement"))
                .count();
        stage.record(late + " requests ran whose key was taken away more than revoke_ms before they were sent");
        if (!warm) {
            return Stage.CANNOT_RUN;
        }
        return late > 0 ? Stage.BROKEN : Stage.HELD;
    }

    private static void callers(Stage stage, Map<String, Long> sent, boolean[] sending) {
        for (int i = 0; sending[0]; i++) {
            String key = i % 2 == 0 ? "keykept" : "keygone";
            String id = key.substring(3) + "-" + i;
            Thread caller = new Thread(
                    () -> {
                        sent.put(id, System.nanoTime());
                        stage.send(ENTRY, id, "/o/x", key, "", 1_500);
                    },
                    id);
            caller.setDaemon(true);
            caller.start();
            Stage.sleep(INTERVAL_MILLIS);
        }
    }
}
