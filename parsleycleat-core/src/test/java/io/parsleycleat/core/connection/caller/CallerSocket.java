package io.parsleycleat.core.connection.caller;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A caller's plain socket, of which tests see every byte. Created by tests; used by one thread. */
final class CallerSocket implements AutoCloseable {
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private static final String LENGTH = "content-length: ";

    private final Socket socket;

    CallerSocket(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    }

    static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
    }

    CallerSocket send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Returns the next answer, head and body, and leaves what follows it unread. */
    String answer() throws IOException {
        String head = head();
        int at = head.toLowerCase(Locale.ROOT).indexOf(LENGTH);
        if (at < 0) {
            return head;
        }
        int length = Integer.parseInt(head.substring(at + LENGTH.length(), head.indexOf('\r', at)));
        return head + new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    /** Returns the head of the next answer. */
    String head() throws IOException {
        return readUntil("\r\n\r\n");
    }

    /** Returns all that arrives up to and with a text; fails when the connection ends before. */
    String readUntil(String text) throws IOException {
        StringBuilder read = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (read.indexOf(text) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("connection ended after: " + read);
            }
            read.append((char) next);
        }
        return read.toString();
    }

    /** Returns the rest up to the orderly end of the connection; a reset fails. */
    String rest() throws IOException {
        ByteArrayOutputStream rest = new ByteArrayOutputStream();
        socket.getInputStream().transferTo(rest);
        return rest.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
