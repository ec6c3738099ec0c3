import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client over blocking sockets, for the stand-ins of this review. */
final class Http {
    private Http() {}

    /** A message that was read as a whole; names of headers are in lower case. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String query(String name) {
            int at = target().indexOf('?');
            if (at >= 0) {
                for (String pair : target().substring(at + 1).split("&")) {
                    int equals = pair.indexOf('=');
                    if (equals > 0 && pair.substring(0, equals).equals(name)) {
                        return URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers the requests of one connection, one after the other. */
    interface Handler {
        void handle(Message request, OutputStream out) throws IOException;
    }

    /** Reads a message; returns null at the end of the connection. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = headers.get("content-length");
        if ("chunked".equalsIgnoreCase(headers.getOrDefault("transfer-encoding", ""))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
        } else if (length != null) {
            body.write(exactly(in, Integer.parseInt(length)));
        } else if (isAnswer) {
            in.transferTo(body);
        }
        return new Message(start, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("the connection ended inside a body");
        }
        return Integer.parseInt(line.trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                line.write(c);
            }
            c = in.read();
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Writes a whole message. */
    static void write(OutputStream out, String start, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write((start + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    static void answer(OutputStream out, int status, String headers, String body) throws IOException {
        write(out, "HTTP/1.1 " + status + " Status", headers, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends one request on a connection of its own and returns the answer. */
    static Message call(InetSocketAddress address, String start, String headers, byte[] body, int timeoutMillis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            write(socket.getOutputStream(), start + " HTTP/1.1", headers, body);
            Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
            if (answer == null) {
                throw new EOFException("the connection ended without an answer");
            }
            return answer;
        }
    }

    /** A server that can fall away with all its connections. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listening;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean closed;

        Server(String ip, int port, Handler handler) throws IOException {
            listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
            Thread acceptor = new Thread(() -> accept(handler), "accept-" + port);
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void accept(Handler handler) {
            while (!closed) {
                try {
                    Socket socket = listening.accept();
                    open.add(socket);
                    Thread thread = new Thread(() -> serve(socket, handler), "serve");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    closed = true;
                }
            }
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message request = read(in, false); request != null && !closed; request = read(in, false)) {
                    handler.handle(request, socket.getOutputStream());
                }
            } catch (IOException | RuntimeException e) {
                // The peer has left, or this server has fallen away.
            } finally {
                open.remove(socket);
            }
        }

        /** Falls away as a killed process does. */
        @Override
        public void close() throws IOException {
            closed = true;
            listening.close();
            for (Socket socket : open) {
                socket.close();
            }
        }
    }
}
