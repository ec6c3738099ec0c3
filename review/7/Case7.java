import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A client sends one request whose body holds the text of another one. With framing that names both a length and a
 * transfer coding, or a coding that is not chunked in the end, the text must not run as a request of its own.
 */
final class Case7 {
    private static final int ENTRY = 11;
    private static final int APP = 31;
    private static final int ANSWER_MILLIS = 1_500;

    private Case7() {}

    public static void main(String[] arguments) {
        System.exit(Stage.play(arguments[0], Case7::play));
    }

    /** Returns the framing headers of each form; LENGTH stands for the length of the whole body. */
    private static Map<String, String> forms() {
        Map<String, String> forms = new LinkedHashMap<>();
        forms.put("length-then-chunked", "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n");
        forms.put("chunked-then-length", "Transfer-Encoding: chunked\r\nContent-Length: LENGTH\r\n");
        forms.put("chunked-then-identity", "Content-Length: LENGTH\r\nTransfer-Encoding: chunked, identity\r\n");
        forms.put("gzip-alone", "Transfer-Encoding: gzip\r\n");
        return forms;
    }

    private static int play(Stage stage) throws IOException, InterruptedException {
        stage.store.put(
                "keyed.op",
                "config",
                Manifest.of(
                        2,
                        Manifest.route("r-o", "/o/", "unsafe", "orders", true),
                        Manifest.plainService("orders"),
                        ""));
        new Engine(stage, "i-o1", "orders", stage.ip(APP), Stage.APP_PORT, "bole", false);
        stage.startEntry(ENTRY);
        if (!stage.awaitReady(ENTRY, 30_000)) {
            return Stage.CANNOT_RUN;
        }
        Stage.sleep(1_000);
        if (stage.send(ENTRY, "plain-1", "/o/x", "", "", 1_500) != 200) {
            return Stage.CANNOT_RUN;
        }
        for (Map.Entry<String, String> form : forms().entrySet()) {
            sendOne(stage, form.getKey(), stage.trouble ? form.getValue() : "Content-Length: LENGTH\r\n");
        }
        long smuggled = stage.runs().stream()
                .filter(r -> r.requestId().startsWith("inner-"))
                .count();
        stage.record(smuggled + " requests ran that no client sent, each smuggled inside the body of another one");
        return smuggled > 0 ? Stage.BROKEN : Stage.HELD;
    }

    private static void sendOne(Stage stage, String form, String framing) {
        String inner = "POST /o/inner HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: inner-" + form
                + "\r\nContent-Length: 2\r\n\r\n{}";
        String body = framing.contains("gzip") ? inner : "0\r\n\r\n" + inner;
        String request = "POST /o/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: outer-" + form
                + "\r\nDeadline-Ms: 1500\r\n" + framing.replace("LENGTH", Integer.toString(body.length())) + "\r\n"
                + body;
        stage.record("sent outer-" + form + ", one request: " + request.replace("\r\n", "\\r\\n"));
        try (Socket socket = new Socket(stage.ip(ENTRY), Stage.FRONT_PORT)) {
            socket.setSoTimeout(ANSWER_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            readAnswers(stage, form, socket.getInputStream());
        } catch (IOException e) {
            stage.record("on the channel of outer-" + form + " nothing more comes: " + e);
        }
    }

    /** Records the heads of all answers until the channel is closed or silent. */
    private static void readAnswers(Stage stage, String form, InputStream in) throws IOException {
        byte[] bytes = new byte[8_192];
        for (int n = in.read(bytes); n > 0; n = in.read(bytes)) {
            String text = new String(bytes, 0, n, StandardCharsets.ISO_8859_1);
            stage.record("on the channel of outer-" + form + ": " + text.replace("\r\n", "\\r\\n"));
        }
        stage.record("the channel of outer-" + form + " is closed");
    }
}
