import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A manifest takes a key away. Seconds later the store is away for a moment and comes back from a copy that is some
 * seconds old; the operator writes its manifest again. Meanwhile the entry is killed, and started again by the platform.
 */
final class Restored {
    private static final String IP = "127.0.0.2";
    private static final int REVOKE_MILLIS = 5000;

    public static void main(String[] a) throws Exception {
        Fleet f = new Fleet(Path.of(a[0]), IP);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Engine engine = new Engine("i-orders0", "orders", "127.0.0.1", 0, "", (e, m) -> ran.add(m.header("Request-Id")));
        f.manifest(7, "key-one", "key-two");
        f.beat(List.of(engine));
        Proc entry = f.entry("front-bole-1", IP);
        entry.start();
        if (!Proc.awaitReady(IP, f.ready, 20000)) {
            f.end(2, "the entry did not become ready");
        }
        if (call(f, "key-one", ran) != 200) {
            f.end(2, "the key is not accepted at first");
        }
        Thread.sleep(2000);
        f.manifest(8, "key-two");
        long acked = System.currentTimeMillis();
        Thread.sleep(1500);
        int status = call(f, "key-one", ran);
        if (status != 401) {
            f.end(2, "the withdrawn key got " + status);
        }
        sleepUntil(acked + 4000);
        if (f.trouble) {
            f.say("the store is away");
            f.store.goAway();
        }
        entry.kill();
        f.say("entry killed");
        sleepUntil(acked + 5000);
        if (f.trouble) {
            f.store.comeBackFromCopyOf(acked - 500);
            f.say("the store is back, from a copy of " + (System.currentTimeMillis() - acked + 500) + " ms ago");
        }
        long back = System.currentTimeMillis();
        entry.start();
        f.say("entry started again");
        Thread operator = new Thread(() -> {
            try {
                sleepUntil(back + 2000);
                if (f.trouble) {
                    f.manifest(8, "key-two");
                }
            } catch (InterruptedException e) {
                // ends with the script
            }
        });
        operator.start();
        int runs = 0;
        int others = 0;
        long end = back + 5000;
        while (System.currentTimeMillis() < end) {
            Thread.sleep(40);
            long sent = System.currentTimeMillis();
            if (sent <= acked + REVOKE_MILLIS) {
                continue;
            }
            int s = call(f, "key-one", ran);
            runs += s == 200 ? 1 : 0;
            others += s > 0 && s != 200 ? 1 : 0;
        }
        f.say("with the withdrawn key: " + runs + " ran, " + others + " refused");
        int good = call(f, "key-two", ran);
        if (good != 200) {
            f.end(2, "the other key got " + good + " at the end");
        }
        f.end(runs > 0 ? 1 : 0, runs + " requests with the withdrawn key ran that were sent later than 5000 ms after the"
                + " acknowledgement of the manifest that took it away; " + others + " were refused");
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - System.currentTimeMillis()));
    }

    /** Sends one safe request; returns 200 only if the engine ran it, 0 if there was no answer. */
    private static int call(Fleet f, String key, Set<String> ran) {
        String id = Client.newId();
        int status = 0;
        try (Client c = new Client(IP, f.front)) {
            Http.Message m = c.call("GET", "/status/x", id, 600, key, "", new byte[0]);
            status = m == null ? 0 : m.status();
        } catch (IOException e) {
            return 0;
        }
        f.say(id + " with " + key + ": status " + status + ", ran " + ran.contains(id));
        return status == 200 && !ran.contains(id) ? 0 : status;
    }
}
