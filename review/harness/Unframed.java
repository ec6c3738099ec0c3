import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Two of four model engines answer one stream in twenty with neither a length nor chunks. One of them is killed while streams
 * run; the others go on. The route may be resumed.
 */
final class Unframed {
    private static final String IP = "127.0.0.2";
    private static final int EVENTS = 60;
    private static final int STREAMS = 160;
    private static final int ENGINES = 4;
    private static final int UNFRAMED_EACH = 20;

    public static void main(String[] a) throws Exception {
        Fleet f = new Fleet(Path.of(a[0]), IP, "127.0.0.3", "127.0.0.4", "127.0.0.5", "127.0.0.6");
        String models = "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";
        Path runs = f.folder.resolve("runs.txt");
        f.manifest(7, "key-one");
        List<Proc> engines = new ArrayList<>();
        List<Proc> sides = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            String ip = "127.0.0." + (3 + i);
            Proc e = Proc.standIn(f.folder, "engine-" + i, "EngineMain", "i-lm" + i, "lm", ip, models,
                    Integer.toString(i < ENGINES / 2 ? UNFRAMED_EACH : 0), runs.toString());
            e.start();
            engines.add(e);
            String line = awaitLine(f.folder.resolve("engine-" + i + ".log"));
            entries.add(line);
            f.store.put("keyed.servers", "i-lm" + i, line);
            String address = line.replaceAll(".*\"address\":\"([^\"]*)\".*", "$1");
            Proc s = f.side("side-bole-" + (i + 1), ip, address);
            s.start();
            sides.add(s);
        }
        boolean[] down = new boolean[ENGINES];
        Thread beat = new Thread(() -> {
            for (int n = 4;; n++) {
                for (int i = 0; i < ENGINES; i++) {
                    if (!down[i]) {
                        f.store.put("keyed.servers", "i-lm" + i,
                                entries.get(i).replaceAll("\"sequence\":\\d+", "\"sequence\":" + n));
                    }
                }
                try {
                    Thread.sleep(1200);
                } catch (InterruptedException x) {
                    return;
                }
            }
        });
        beat.setDaemon(true);
        beat.start();
        Proc entry = f.entry("front-bole-1", IP);
        entry.start();
        if (!Proc.awaitReady(IP, f.ready, 20000)) {
            f.end(2, "the entry did not become ready");
        }
        Thread.sleep(3000);
        int[] counts = new int[4];
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Thread t = new Thread(() -> stream(f, counts));
            t.start();
            threads.add(t);
            Thread.sleep(23);
        }
        Thread.sleep(1500);
        if (f.trouble) {
            down[0] = true;
            engines.get(0).kill();
            f.say("engine i-lm0 is killed");
        }
        for (Thread t : threads) {
            t.join(20000);
        }
        Files.readAllLines(runs).forEach(l -> f.say("run: " + l));
        String result = counts[0] + " streams whole, " + counts[1] + " ended as complete before their last piece, "
                + counts[2] + " broken off visibly, " + counts[3] + " refused";
        if (counts[0] == 0) {
            f.end(2, "no stream was whole: " + result);
        }
        f.end(counts[1] > 0 ? 1 : 0, result);
    }

    private static void stream(Fleet f, int[] counts) {
        String id = Client.newId();
        int kind;
        String what;
        try (Client c = new Client(IP, f.front)) {
            Http.Message m = c.call("POST", "/stream/x", id, 15000, "key-one",
                    "Model: m0\r\nToken-Counts: 100,60\r\nPrompt-Prefix: " + id + ":100\r\n", new byte[100]);
            int pieces = m == null ? 0 : m.text().split("\n\n", -1).length - 1;
            if (m == null) {
                kind = 2;
                what = "closed without a head";
            } else if (m.status() != 200) {
                kind = 3;
                what = "status " + m.status() + " " + m.text();
            } else {
                kind = pieces == EVENTS && m.whole ? 0 : m.whole ? 1 : 2;
                what = "status 200, " + pieces + " of " + EVENTS + " pieces, framing says " + (m.whole ? "whole" : "broken off")
                        + ", " + (m.header("Transfer-Encoding") == null ? "no chunks" : "chunked");
            }
        } catch (IOException e) {
            kind = 2;
            what = e.toString();
        }
        synchronized (counts) {
            counts[kind]++;
        }
        f.say("stream " + id + ": " + what);
    }

    private static String awaitLine(Path log) throws Exception {
        for (int i = 0; i < 200; i++) {
            if (Files.exists(log)) {
                for (String l : Files.readAllLines(log)) {
                    if (l.startsWith("entry ")) {
                        return l.substring(6);
                    }
                }
            }
            Thread.sleep(50);
        }
        throw new IOException("the stand-in did not start");
    }
}
