import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for an engine: a plain service, or a model engine that holds its adapters and takes no orders but those that
 * already hold. What it ran is told to a listener.
 */
class Engine {
    interface Runs {
        void onRun(String engine, Http.Message request);
    }

    final String id;
    final long born = System.currentTimeMillis();
    final String service;
    final ServerSocket server;
    final Runs runs;
    /** A piece of JSON: the models that it holds; empty for a plain service. */
    final String models;
    volatile int workMillis = 20;
    volatile int events = 20;
    volatile int eventMillis = 60;
    /** One answer in so many has neither a length nor chunks; 0 for none. */
    volatile int unframedEach;
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger sequence = new AtomicInteger(2);

    Engine(String id, String service, String ip, int port, String models, Runs runs) throws IOException {
        this.id = id;
        this.service = service;
        this.models = models;
        this.runs = runs;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 500);
        Thread t = new Thread(this::accept, "engine-" + id);
        t.setDaemon(true);
        t.start();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** The description that it writes into the store. */
    String entry(String zone, int beat) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + born
                + (models.isEmpty() ? "" : ",\"stage\":\"combined\",\"models\":" + models) + ",\"sequence\":" + beat + "}";
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                Thread t = new Thread(() -> serve(s));
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            BufferedInputStream in = Http.buffered(s.getInputStream());
            OutputStream out = s.getOutputStream();
            while (true) {
                Http.Message m = Http.head(in);
                if (m == null) {
                    return;
                }
                Http.body(in, m, true);
                if (!m.whole) {
                    return;
                }
                if (!answer(m, out)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            // the channel is lost
        }
    }

    /** Answers one request; returns whether the channel stays open. */
    private boolean answer(Http.Message m, OutputStream out) throws IOException, InterruptedException {
        switch (m.path()) {
            case "/health":
                send(out, 200, List.of("Instance-Id: " + id), "");
                return true;
            case "/report":
                send(out, 200, List.of("Content-Type: application/json"),
                        "{\"stage\":\"combined\",\"models\":" + models + ",\"busy\":false,\"sequence\":" + sequence
                                + ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":122011,\"handles\":0,\"born\":"
                                + born + "}");
                return true;
            case "/order":
                send(out, 200, List.of(), "");
                return true;
            default:
                String expected = m.header("Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    send(out, 421, List.of("Instance-Id: " + id, "Not-Executed: 1"), "");
                    return true;
                }
                return models.isEmpty() ? plain(m, out) : stream(m, out);
        }
    }

    boolean plain(Http.Message m, OutputStream out) throws IOException, InterruptedException {
        runs.onRun(id, m);
        Thread.sleep(workMillis);
        String rid = m.header("Request-Id");
        send(out, 200, List.of("Request-Id: " + rid, "Server-Seal: seal." + rid), "answer to " + rid);
        return true;
    }

    boolean stream(Http.Message m, OutputStream out) throws IOException, InterruptedException {
        runs.onRun(id, m);
        Thread.sleep(workMillis);
        String rid = m.header("Request-Id");
        String last = m.header("Last-Event-Id");
        int from = last == null ? 0 : Integer.parseInt(last) + 1;
        boolean framed = unframedEach == 0 || answers.incrementAndGet() % unframedEach != 0;
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + rid + "\r\nServer-Seal: seal."
                + rid + "\r\n" + (framed ? "Transfer-Encoding: chunked\r\n" : "") + "\r\n").getBytes());
        for (int i = from; i < events; i++) {
            byte[] event = ("id: " + i + "\ndata: piece " + i + " of " + rid + "\n\n").getBytes();
            if (framed) {
                out.write((Integer.toHexString(event.length) + "\r\n").getBytes());
                out.write(event);
                out.write("\r\n".getBytes());
            } else {
                out.write(event);
            }
            out.flush();
            Thread.sleep(eventMillis);
        }
        if (framed) {
            out.write("0\r\n\r\n".getBytes());
        }
        out.flush();
        return framed;
    }

    static void send(OutputStream out, int status, List<String> headers, String body) throws IOException {
        byte[] b = body.getBytes(StandardCharsets.ISO_8859_1);
        StringBuilder h = new StringBuilder("HTTP/1.1 " + status + " S\r\nContent-Length: " + b.length + "\r\n");
        headers.forEach(x -> h.append(x).append("\r\n"));
        byte[] head = h.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + b.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(b, 0, all, head.length, b.length);
        out.write(all);
        out.flush();
    }
}
