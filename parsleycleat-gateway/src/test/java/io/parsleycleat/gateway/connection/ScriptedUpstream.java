package io.parsleycleat.gateway.connection;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A test upstream that responds to each request with the bytes of a script. Each connection has its own thread. A
 * request consists of a head and, if it has a Content-Length, a body.
 */
public final class ScriptedUpstream implements AutoCloseable {
    private final ServerSocket server;
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private final Script script;

    /** Responds to one request; returns false to close the connection. */
    @FunctionalInterface
    public interface Script {
        boolean answer(String request, Socket connection) throws IOException;
    }

    public ScriptedUpstream(Script script) {
        this(InetAddress.getLoopbackAddress(), script);
    }

    /** Creates an upstream at a loopback address of its own, as if on another VM. */
    public ScriptedUpstream(InetAddress address, Script script) {
        this.script = script;
        try {
            server = new ServerSocket(0, 50, address);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread accepting = new Thread(this::acceptConnections, "scripted-upstream");
        accepting.setDaemon(true);
        accepting.start();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Removes and returns the next received request, waiting for it if necessary. */
    public String takeRequest() throws InterruptedException {
        return requests.take();
    }

    /** Removes the next received request, which must be there already. */
    public void takeUntakenRequest() {
        requests.remove();
    }

    /** Returns how many received requests have not been taken yet. */
    public int untakenRequestCount() {
        return requests.size();
    }

    public static void write(Socket connection, String bytes) throws IOException {
        connection.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
        connection.getOutputStream().flush();
    }

    /** Waits for bytes or the end of a connection; returns whether the client has closed or reset it. */
    public static boolean isClosedByClient(Socket connection) {
        try {
            return connection.getInputStream().read() < 0;
        } catch (IOException reset) {
            return true;
        }
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket connection = server.accept();
                Thread serving = new Thread(() -> serve(connection), "scripted-connection");
                serving.setDaemon(true);
                serving.start();
            }
        } catch (IOException expected) {
            // The test closed the server.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            boolean more = true;
            while (more) {
                String request = readRequest(connection.getInputStream());
                if (request.isEmpty()) {
                    return;
                }
                requests.add(request);
                more = script.answer(request, connection);
            }
        } catch (IOException expected) {
            // The client closed the connection.
        }
    }

    private static String readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int next = in.read();
        while (next >= 0) {
            head.append((char) next);
            if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                break;
            }
            next = in.read();
        }
        String text = head.toString();
        int at = text.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
        if (at < 0) {
            return text;
        }
        int length = Integer.parseInt(text.substring(at + 16, text.indexOf('\r', at)));
        return text + new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
