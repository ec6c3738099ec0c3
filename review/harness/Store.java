import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in for the platform's store: topics of one partition, long reads, newest records, eras. */
final class Store {
    private final HttpServer server;
    private final Map<String, List<Rec>> topics = new HashMap<>();
    private long era;
    private boolean away;
    /** Whether the machines at the first address are turned away, while those at the other one are served. */
    private boolean turnedAway;
    private final HttpServer otherServer;

    private record Rec(byte[] content, long atMillis) {}

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        otherServer = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        java.util.concurrent.ExecutorService threads = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "store");
            t.setDaemon(true);
            return t;
        });
        for (HttpServer each : List.of(server, otherServer)) {
            each.setExecutor(threads);
            each.createContext("/", x -> handle(x, each == server));
            each.start();
        }
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** The address of machines that are served while others are turned away. */
    String otherAddress() {
        return "127.0.0.1:" + otherServer.getAddress().getPort();
    }

    /** The store turns the machines at the first address away, with 503, and serves the others and the operator. */
    synchronized void turnAway(boolean now) {
        turnedAway = now;
        notifyAll();
    }

    /** Writes as the operator and the servers do; the return is the acknowledgement. An empty value drops the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        byte[] record = ByteBuffer.allocate(1 + name.length + bytes.length)
                .put((byte) name.length).put(name).put(bytes).array();
        topic(topic).add(new Rec(record, System.currentTimeMillis()));
        notifyAll();
    }

    /** The store is away: calls get 503, which says that nothing was done. */
    synchronized void goAway() {
        away = true;
        notifyAll();
    }

    synchronized void comeBack() {
        away = false;
        notifyAll();
    }

    /** The store comes back from a copy of an earlier moment; what was written since is gone. */
    synchronized void comeBackFromCopyOf(long millis) {
        topics.values().forEach(l -> l.removeIf(r -> r.atMillis() > millis));
        era++;
        away = false;
        notifyAll();
    }

    private List<Rec> topic(String name) {
        return topics.computeIfAbsent(name, t -> new ArrayList<>());
    }

    private void handle(HttpExchange x, boolean first) throws IOException {
        byte[] body = x.getRequestBody().readAllBytes();
        Map<String, String> q = new HashMap<>();
        String query = x.getRequestURI().getRawQuery();
        for (String p : (query == null ? "" : query).split("&")) {
            String[] kv = p.split("=", 2);
            q.put(kv[0], kv.length > 1 ? java.net.URLDecoder.decode(kv[1], StandardCharsets.UTF_8) : "");
        }
        Answer a;
        try {
            a = answer(x.getRequestURI().getPath(), q, body, first);
        } catch (InterruptedException e) {
            a = new Answer(503, new byte[0]);
        }
        synchronized (this) {
            x.getResponseHeaders().set("Store-Era", Long.toString(a.era));
        }
        x.sendResponseHeaders(a.status, a.body.length == 0 ? -1 : a.body.length);
        if (a.body.length > 0) {
            x.getResponseBody().write(a.body);
        }
        x.close();
    }

    private final class Answer {
        final int status;
        final byte[] body;
        final long era = Store.this.era;

        Answer(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }

        Answer(int status, String json) {
            this(status, json.getBytes(StandardCharsets.UTF_8));
        }
    }

    private boolean isAway(boolean first) {
        return away || (first && turnedAway);
    }

    private synchronized Answer answer(String path, Map<String, String> q, byte[] body, boolean first) throws InterruptedException {
        if (isAway(first)) {
            return new Answer(503, new byte[0]);
        }
        List<Rec> records = topic(q.get("topic"));
        switch (path) {
            case "/log-append": {
                ByteBuffer b = ByteBuffer.wrap(body);
                int offset = records.size();
                while (b.remaining() >= 4) {
                    byte[] r = new byte[b.getInt()];
                    b.get(r);
                    records.add(new Rec(r, System.currentTimeMillis()));
                }
                notifyAll();
                return new Answer(200, "{\"offset\":" + offset + ",\"end\":" + records.size() + "}");
            }
            case "/log-newest": {
                Map<String, String> items = new LinkedHashMap<>();
                for (int i = 0; i < records.size(); i++) {
                    byte[] r = records.get(i).content();
                    String key = new String(r, 1, r[0] & 0xff, StandardCharsets.UTF_8);
                    byte[] value = Arrays.copyOfRange(r, 1 + (r[0] & 0xff), r.length);
                    items.remove(key);
                    if (value.length > 0) {
                        items.put(key, "{\"key\":\"" + key + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + i + "}");
                    }
                }
                return new Answer(200, "{\"items\":[" + String.join(",", items.values())
                        + "],\"has_more\":false,\"end\":" + records.size() + "}");
            }
            case "/log-read": {
                long from = Long.parseLong(q.get("from"));
                long wait = Long.parseLong(q.getOrDefault("wait_ms", "0"));
                long end = System.currentTimeMillis() + wait;
                long startEra = era;
                while (!isAway(first) && era == startEra && topic(q.get("topic")).size() <= from
                        && System.currentTimeMillis() < end) {
                    wait(Math.max(1, end - System.currentTimeMillis()));
                }
                if (isAway(first)) {
                    return new Answer(503, new byte[0]);
                }
                records = topic(q.get("topic"));
                if (from > records.size()) {
                    return new Answer(410, "{\"first\":0}");
                }
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
                long most = 1024 * Long.parseLong(q.getOrDefault("max_kb", "1024"));
                int sent = 0;
                for (Rec r : records.subList((int) from, records.size())) {
                    if (sent > 0 && out.size() + 4 + r.content().length > most) {
                        break;
                    }
                    out.writeBytes(ByteBuffer.allocate(4).putInt(r.content().length).array());
                    out.writeBytes(r.content());
                    sent++;
                }
                return new Answer(200, out.toByteArray());
            }
            default:
                return new Answer(404, new byte[0]);
        }
    }
}
