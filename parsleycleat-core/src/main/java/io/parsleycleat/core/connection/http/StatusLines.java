package io.parsleycleat.core.connection.http;

import io.parsleycleat.core.process.logging.LogText;
import java.util.regex.Pattern;

/**
 * Which status lines begin a response: those of HTTP/1.x with a status of three digits from 100 to 599 (RFC 9112,
 * section 4; RFC 9110, section 15).
 *
 * <p>Stateless.
 */
final class StatusLines {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");

    private StatusLines() {}

    /**
     * Refuses a line that is no status line.
     *
     * @param parts version, status and reason
     * @throws IllegalArgumentException with the first characters of the line
     */
    static void check(String[] parts) {
        if (!VERSION.matcher(parts[0]).matches() || !STATUS.matcher(parts[1]).matches()) {
            throw new IllegalArgumentException("no status line: " + LogText.firstPrintable(String.join(" ", parts)));
        }
    }
}
