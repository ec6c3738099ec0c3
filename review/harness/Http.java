import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    /** A message: its first line, its headers, and its body if it was read. */
    static final class Message {
        String first;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = {};
        /** Whether the body ended as its framing says. */
        boolean whole;

        String header(String name) {
            for (String[] h : headers) {
                if (h[0].equalsIgnoreCase(name)) {
                    return h[1];
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            String p = first.split(" ")[1];
            int q = p.indexOf('?');
            return q < 0 ? p : p.substring(0, q);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private Http() {}

    static BufferedInputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 65536);
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (b.size() == 0) {
                    return null;
                }
                throw new EOFException("inside a line");
            }
            if (c == '\n') {
                return b.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
            }
            b.write(c);
        }
    }

    /** Reads a head; null at the end of the connection. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message m = new Message();
        m.first = first;
        while (true) {
            String l = line(in);
            if (l == null) {
                throw new EOFException("inside a head");
            }
            if (l.isEmpty()) {
                return m;
            }
            int colon = l.indexOf(':');
            m.headers.add(new String[] {l.substring(0, colon).trim(), l.substring(colon + 1).trim()});
        }
    }

    /** Reads the body as framed; keeps what came if it breaks off. */
    static void body(InputStream in, Message m, boolean request) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        try {
            String te = m.header("Transfer-Encoding");
            String cl = m.header("Content-Length");
            if (te != null && te.toLowerCase().contains("chunked")) {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        return;
                    }
                    int n = Integer.parseInt(size.split(";")[0].trim(), 16);
                    for (int i = 0; i < n; i++) {
                        int c = in.read();
                        if (c < 0) {
                            return;
                        }
                        b.write(c);
                    }
                    line(in);
                    if (n == 0) {
                        m.whole = true;
                        return;
                    }
                }
            } else if (cl != null) {
                int n = Integer.parseInt(cl);
                for (int i = 0; i < n; i++) {
                    int c = in.read();
                    if (c < 0) {
                        return;
                    }
                    b.write(c);
                }
                m.whole = true;
            } else if (request) {
                m.whole = true;
            } else {
                int c;
                while ((c = in.read()) >= 0) {
                    b.write(c);
                }
                m.whole = true;
            }
        } finally {
            m.body = b.toByteArray();
        }
    }
}
