import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A manifest takes the last tenant with its keys away: its list of tenants is empty. No route is anonymous. Without the
 * disruption the tenant stays, and only its keys are taken away.
 */
final class Emptied {
    private static final String IP = "127.0.0.2";
    private static final int REVOKE_MILLIS = 5000;
    private static final int REQUESTS = 20;

    public static void main(String[] a) throws Exception {
        Fleet f = new Fleet(Path.of(a[0]), IP);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Engine engine = new Engine("i-orders0", "orders", "127.0.0.1", 0, "", (e, m) -> {
            ran.add(m.header("Request-Id"));
            f.say("engine runs " + m.header("Request-Id") + " for tenant " + m.header("Tenant"));
        });
        f.manifest(7, "key-one");
        f.beat(List.of(engine));
        Proc entry = f.entry("front-bole-1", IP);
        entry.start();
        if (!Proc.awaitReady(IP, f.ready, 20000)) {
            f.end(2, "the entry did not become ready");
        }
        Thread.sleep(3500);
        if (call(f, "key-one", ran) != 200 || call(f, "never-issued", ran) != 401 || call(f, null, ran) != 401) {
            f.end(2, "the keys are not judged as they must be at first");
        }
        if (f.trouble) {
            f.manifestWithoutTenants(8);
        } else {
            f.manifest(8, new String[0]);
        }
        Thread.sleep(REVOKE_MILLIS + 500);
        int withdrawn = 0;
        int unknown = 0;
        int none = 0;
        for (int i = 0; i < REQUESTS; i++) {
            withdrawn += call(f, "key-one", ran) == 200 ? 1 : 0;
            unknown += call(f, "never-issued", ran) == 200 ? 1 : 0;
            none += call(f, null, ran) == 200 ? 1 : 0;
            Thread.sleep(50);
        }
        String seen = withdrawn + " of " + REQUESTS + " requests with the withdrawn key, " + unknown + " with a key that no"
                + " manifest ever held and " + none + " without a key ran, sent later than 5000 ms after the acknowledgement";
        f.end(withdrawn + unknown > 0 ? 1 : 0, seen);
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
