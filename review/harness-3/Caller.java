import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a connection of its own and reads the whole answer. */
final class Caller {
    private Caller() {}

    /** Returns the answer as text: status line, headers and body as they came. */
    static String send(InetSocketAddress entry, String id, String adapter, int events, String key) throws IOException {
        return send(entry, id, adapter, "100," + events, events, key);
    }

    /** Like the other, with the number of prompt tokens and the maximum number of output tokens. */
    static String send(InetSocketAddress entry, String id, String adapter, String tokens, int events, String key)
            throws IOException {
        String body = "{\"prompt\":\"" + id + "\"}";
        try (Socket socket = new Socket(entry.getAddress(), entry.getPort())) {
            socket.setSoTimeout(15_000);
            socket.getOutputStream()
                    .write(("POST /draft/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nModel: "
                                    + Engine.MODEL + "/" + adapter
                                    + "\r\nToken-Counts: " + tokens + "\r\nPrompt-Prefix: 1:50,2" + id.hashCode()
                                    + ":50\r\nLength-Hint: " + events
                                    + "\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer " + key
                                    + "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    static String status(String answer) {
        int end = answer.indexOf('\r');
        return end < 0 ? "no answer" : answer.substring(0, end);
    }
}
