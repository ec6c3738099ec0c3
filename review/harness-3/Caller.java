import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a connection of its own and reads the whole answer. */
final class Caller {
    private Caller() {}

    /**
     * Returns the answer as text: status line, headers and body as they came.
     *
     * @param promptTokens the tokens of the prompt, of which 50 are shared by all requests
     * @param events how many events the answer has at most
     */
    static String send(InetSocketAddress entry, String id, String adapter, int promptTokens, int events, String key)
            throws IOException {
        String body = "{\"prompt\":\"" + id + "\"}";
        String ownPart = Integer.toHexString(id.hashCode());
        int outputTokens = events * Engine.TOKENS_PER_EVENT;
        try (Socket socket = new Socket(entry.getAddress(), entry.getPort())) {
            socket.setSoTimeout(15_000);
            socket.getOutputStream()
                    .write(("POST /draft/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nModel: "
                                    + Engine.MODEL + "/" + adapter + "\r\nToken-Counts: " + promptTokens + ","
                                    + outputTokens + "\r\nPrompt-Prefix: 5c1e07a2:50," + ownPart + ":" + (promptTokens - 50)
                                    + "\r\nLength-Hint: " + outputTokens
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
