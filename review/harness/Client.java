import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.UUID;

/** One client channel to an entry; may be kept for many requests. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private BufferedInputStream in;

    Client(String ip, int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 1000);
        in = Http.buffered(socket.getInputStream());
    }

    static String newId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    /** Sends a request and reads the whole answer. Null if the channel ended without a head. */
    Http.Message call(String method, String path, String id, int deadlineMillis, String key, String more, byte[] body)
            throws IOException {
        send(method, path, id, deadlineMillis, key, more, body);
        return read(deadlineMillis);
    }

    void send(String method, String path, String id, int deadlineMillis, String key, String more, byte[] body)
            throws IOException {
        byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n" + (key == null ? "" : "Authorization: Bearer " + key + "\r\n")
                + more + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n").getBytes();
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        socket.getOutputStream().write(all);
        socket.getOutputStream().flush();
    }

    /** Sends a request whose body leaves evenly over 2.6 s, as behind a link of some 13 Mbit/s. */
    void sendPaced(String path, String id, int deadlineMillis, String key, byte[] body) throws IOException {
        socket.getOutputStream().write(("POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + key + "\r\nContent-Length: "
                + body.length + "\r\n\r\n").getBytes());
        long start = System.nanoTime();
        int sent = 0;
        while (sent < body.length) {
            int due = (int) Math.min(body.length, (System.nanoTime() - start) / 2.6e9 * body.length);
            if (due > sent) {
                socket.getOutputStream().write(body, sent, due - sent);
                sent = due;
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    Http.Message readWithin(int millis) throws IOException {
        socket.setSoTimeout(millis);
        Http.Message m = Http.head(in);
        if (m != null) {
            Http.body(in, m, false);
        }
        return m;
    }

    Http.Message read(int deadlineMillis) throws IOException {
        socket.setSoTimeout(deadlineMillis + 3000);
        Http.Message m = Http.head(in);
        if (m != null) {
            Http.body(in, m, false);
        }
        return m;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // closed all the same
        }
    }
}
