import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for the platform's store: topics of one partition, appends, reads that wait, and the newest record of each
 * key. It can be restored from a copy, which begins an era (header Store-Era).
 */
final class Store implements AutoCloseable {
    private final String ip;
    private final int port;
    private Map<String, List<byte[]>> topics = new HashMap<>();
    private Map<String, List<byte[]>> copy = new HashMap<>();
    private long era;
    private Http.Server server;

    Store(String ip, int port) throws IOException {
        this.ip = ip;
        this.port = port;
        start();
    }

    void start() throws IOException {
        server = new Http.Server(ip, port, this::handle);
    }

    /** The store is away: its address refuses connections until it starts again. */
    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Writes as operators and engines do; an empty value deletes the key. Returns when the write is acknowledged. */
    synchronized long put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        append(
                topic,
                ByteBuffer.allocate(1 + name.length + bytes.length)
                        .put((byte) name.length)
                        .put(name)
                        .put(bytes)
                        .array());
        return System.nanoTime();
    }

    synchronized void takeCopy() {
        copy = copyOf(topics);
    }

    /** Comes back from the copy; what was written since is gone. */
    synchronized void restore() {
        topics = copyOf(copy);
        era++;
        notifyAll();
    }

    private static Map<String, List<byte[]>> copyOf(Map<String, List<byte[]>> all) {
        Map<String, List<byte[]>> copied = new HashMap<>();
        all.forEach((topic, records) -> copied.put(topic, new ArrayList<>(records)));
        return copied;
    }

    private long append(String topic, byte[] record) {
        List<byte[]> records = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        records.add(record);
        notifyAll();
        return records.size() - 1;
    }

    private void handle(Http.Message request, OutputStream out) throws IOException {
        String topic = request.query("topic");
        switch (request.path()) {
            case "/log-append" -> {
                long offset = -1;
                long end;
                synchronized (this) {
                    ByteBuffer body = ByteBuffer.wrap(request.body());
                    while (body.remaining() >= Integer.BYTES) {
                        byte[] record = new byte[body.getInt()];
                        body.get(record);
                        long at = append(topic, record);
                        offset = offset < 0 ? at : offset;
                    }
                    end = topics.getOrDefault(topic, List.of()).size();
                }
                json(out, "{\"offset\":" + offset + ",\"end\":" + end + "}");
            }
            case "/log-read" -> read(request, topic, out);
            case "/log-newest" -> json(out, newest(topic));
            default -> Http.answer(out, 404, "", "");
        }
    }

    private synchronized void json(OutputStream out, String body) throws IOException {
        Http.answer(out, 200, "Store-Era: " + era + "\r\nContent-Type: application/json\r\n", body);
    }

    private synchronized void read(Http.Message request, String topic, OutputStream out) throws IOException {
        int from = Integer.parseInt(request.query("from"));
        String wait = request.query("wait_ms");
        long until = System.nanoTime() + (wait.isEmpty() ? 0 : Long.parseLong(wait)) * 1_000_000L;
        long eraAtStart = era;
        while (end(topic) == from && era == eraAtStart && System.nanoTime() < until) {
            try {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000L));
            } catch (InterruptedException e) {
                return;
            }
        }
        if (from > end(topic)) {
            Http.answer(
                    out, 410, "Store-Era: " + era + "\r\nContent-Type: application/json\r\n", "{\"first\":0}");
            return;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write(ByteBuffer.allocate(16).putLong(end(topic)).putLong(0).array());
        for (byte[] record : topics.getOrDefault(topic, List.of()).subList(from, end(topic))) {
            body.write(ByteBuffer.allocate(4).putInt(record.length).array());
            body.write(record);
        }
        Http.write(out, "HTTP/1.1 200 OK", "Store-Era: " + era + "\r\n", body.toByteArray());
    }

    private int end(String topic) {
        return topics.getOrDefault(topic, List.of()).size();
    }

    private synchronized String newest(String topic) {
        Map<String, String> items = new TreeMap<>();
        List<byte[]> records = topics.getOrDefault(topic, List.of());
        for (int offset = 0; offset < records.size(); offset++) {
            byte[] record = records.get(offset);
            String key = new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
            byte[] value = java.util.Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length);
            if (value.length == 0) {
                items.remove(key);
            } else {
                items.put(
                        key,
                        "{\"key\":\"" + key + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
            }
        }
        return "{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end\":" + records.size()
                + "}";
    }
}
