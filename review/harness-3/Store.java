import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
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

/** The platform's store: topics with one partition, appends, reads that wait, and the newest record of each key. */
final class Store {
    private final HttpServer server;
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final Map<String, Long> answeredReads = new HashMap<>();

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    void stop() {
        server.stop(0);
    }

    /** Writes a record of a key as operators and engines do. Its return is the acknowledgement. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        add(
                topic,
                ByteBuffer.allocate(1 + name.length + bytes.length)
                        .put((byte) name.length)
                        .put(name)
                        .put(bytes)
                        .array());
    }

    /** Returns how many reads of a topic were answered. */
    synchronized long answeredReads(String topic) {
        return answeredReads.getOrDefault(topic, 0L);
    }

    private synchronized int add(String topic, byte[] content) {
        List<byte[]> records = records(topic);
        records.add(content);
        notifyAll();
        return records.size() - 1;
    }

    private List<byte[]> records(String topic) {
        return topics.computeIfAbsent(topic, t -> new ArrayList<>());
    }

    private void handle(HttpExchange call) throws IOException {
        try (call) {
            Map<String, String> query = query(call);
            String topic = query.get("topic");
            byte[] body = call.getRequestBody().readAllBytes();
            switch (call.getRequestURI().getPath()) {
                case "/log-append" -> append(call, topic, body);
                case "/log-newest" -> respond(call, 200, newest(topic).getBytes(StandardCharsets.UTF_8));
                case "/log-read" -> read(
                        call, topic, Integer.parseInt(query.get("from")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
                default -> respond(call, 404, new byte[0]);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void append(HttpExchange call, String topic, byte[] body) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(body);
        int first = -1;
        int last = -1;
        while (in.remaining() >= 4) {
            byte[] content = new byte[in.getInt()];
            in.get(content);
            last = add(topic, content);
            first = first < 0 ? last : first;
        }
        respond(call, 200, ("{\"offset\":" + first + ",\"end\":" + (last + 1) + "}").getBytes(StandardCharsets.UTF_8));
    }

    private synchronized String newest(String topic) {
        Map<String, String> items = new LinkedHashMap<>();
        List<byte[]> records = records(topic);
        for (int offset = 0; offset < records.size(); offset++) {
            byte[] record = records.get(offset);
            int keyEnd = 1 + (record[0] & 0xff);
            String key = new String(record, 1, keyEnd - 1, StandardCharsets.UTF_8);
            byte[] value = Arrays.copyOfRange(record, keyEnd, record.length);
            items.remove(key);
            if (value.length > 0) {
                items.put(
                        key,
                        "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                                + "\",\"offset\":" + offset + "}");
            }
        }
        return "{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end\":" + records.size() + "}";
    }

    private void read(HttpExchange call, String topic, int from, long waitMillis)
            throws IOException, InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            long end = System.nanoTime() + waitMillis * 1_000_000;
            while (records(topic).size() <= from && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            List<byte[]> records = records(topic);
            out.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
            for (int i = Math.min(from, records.size()); i < records.size(); i++) {
                byte[] record = records.get(i);
                out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
                out.writeBytes(record);
            }
        }
        respond(call, 200, out.toByteArray());
        synchronized (this) {
            answeredReads.merge(topic, 1L, Long::sum);
        }
    }

    private static void respond(HttpExchange call, int status, byte[] body) throws IOException {
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            call.getResponseBody().write(body);
        }
    }

    private static Map<String, String> query(HttpExchange call) {
        Map<String, String> parameters = new HashMap<>();
        String text = call.getRequestURI().getQuery();
        for (String part : (text == null ? "" : text).split("&")) {
            int at = part.indexOf('=');
            if (at > 0) {
                parameters.put(part.substring(0, at), part.substring(at + 1));
            }
        }
        return parameters;
    }
}
