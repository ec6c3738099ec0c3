import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store turns one of three machines away, the entry, for 9 s, while it serves two sides, the operator and the engines.
 * Meanwhile manifests come in quick succession, and the last of them takes a key away. What the entry has not read then is more than one read returns.
 */
final class Backlog {
    private static final String IP = "127.0.0.2";
    private static final String[] SIDE_IPS = {"127.0.0.3", "127.0.0.4"};
    private static final int REVOKE_MILLIS = 5000;
    private static final int AWAY_MILLIS = 9000;
    /** The routes that one growth of the manifest brings on the site at most. */
    private static final int MORE_ROUTES = 427;
    private static final int STORM = 12;
    private static final int STORM_GAP_MILLIS = 330;

    public static void main(String[] a) throws Exception {
        Fleet f = new Fleet(Path.of(a[0]), IP, SIDE_IPS[0], SIDE_IPS[1]);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Engine engine = new Engine("i-orders0", "orders", "127.0.0.1", 0, "", (e, m) -> ran.add(m.header("Request-Id")));
        f.bigManifest(7, MORE_ROUTES, "key-one", "key-two");
        List<Engine> engines = new ArrayList<>(List.of(engine));
        for (int i = 0; i < SIDE_IPS.length; i++) {
            Engine lm = new Engine("i-lm" + i, "lm", SIDE_IPS[i], 0, "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]",
                    (e, m) -> ran.add(m.header("Request-Id")));
            engines.add(lm);
            f.side("side-bole-" + (i + 1), SIDE_IPS[i], lm.address()).start();
        }
        f.beat(engines);
        Proc entry = f.entry("front-bole-1", IP);
        entry.start();
        if (!Proc.awaitReady(IP, f.ready, 20000)) {
            f.end(2, "the entry did not become ready");
        }
        Thread.sleep(3500);
        if (call(f, "key-one", ran) != 200 || call(f, "key-two", ran) != 200) {
            f.end(2, "the keys are not accepted at first");
        }
        long start = System.currentTimeMillis();
        if (f.trouble) {
            f.store.turnAway(true);
            f.say("the store turns the entry away");
        }
        for (int i = 0; i < STORM; i++) {
            sleepUntil(start + 100 + i * STORM_GAP_MILLIS);
            f.bigManifest(8 + i, MORE_ROUTES, "key-one", "key-two");
        }
        sleepUntil(start + 100 + STORM * STORM_GAP_MILLIS - STORM_GAP_MILLIS / 2);
        f.bigManifest(8 + STORM, MORE_ROUTES, "key-two");
        long acked = System.currentTimeMillis();
        Thread back = new Thread(() -> {
            try {
                sleepUntil(start + AWAY_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            f.store.turnAway(false);
            f.say("the store serves the entry again, " + (System.currentTimeMillis() - acked)
                    + " ms after the acknowledgement");
        });
        back.start();
        sleepUntil(acked + REVOKE_MILLIS + 1);
        int runs = 0;
        int refused = 0;
        while (System.currentTimeMillis() < start + AWAY_MILLIS + 4000) {
            int s = call(f, "key-one", ran);
            runs += s == 200 ? 1 : 0;
            refused += s > 0 && s != 200 ? 1 : 0;
            Thread.sleep(5);
        }
        int good = call(f, "key-two", ran);
        if (good != 200) {
            f.end(2, "the other key got " + good + " at the end");
        }
        f.end(runs > 0 ? 1 : 0, runs + " requests with the withdrawn key ran that were sent later than 5000 ms after the"
                + " acknowledgement of the manifest that took it away; " + refused + " were refused");
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - System.currentTimeMillis()));
    }

    /** Sends one unsafe request; returns 200 only if the engine ran it, 0 if there was no answer. */
    private static int call(Fleet f, String key, Set<String> ran) {
        String id = Client.newId();
        int status;
        try (Client c = new Client(IP, f.front)) {
            Http.Message m = c.call("POST", "/place/x", id, 600, key, "", "order".getBytes());
            status = m == null ? 0 : m.status();
        } catch (IOException e) {
            return 0;
        }
        f.say(id + " with " + key + ": status " + status + ", ran " + ran.contains(id));
        return status == 200 && !ran.contains(id) ? 0 : status;
    }
}
