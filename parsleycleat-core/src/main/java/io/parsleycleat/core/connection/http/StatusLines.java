package io.parsleycleat.core.connection.http;

import io.parsleycleat.core.process.logging.LogText;

/**
 * Which status lines begin a response: those of HTTP/1.x with a status of three digits from 100 to 599 (RFC 9112,
 * section 4; RFC 9110, section 15).
 *
 * <p>Stateless.
 */
final class StatusLines {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int STATUS_DIGITS = 3;

    private StatusLines() {}

    /**
     * Refuses a line that is no status line.
     *
     * @param parts version, status and reason
     * @throws IllegalArgumentException with the first characters of the line
     */
    static void check(String[] parts) {
        if (!isVersion(parts[0]) || !isStatus(parts[1])) {
            throw new IllegalArgumentException("no status line: " + LogText.firstPrintable(String.join(" ", parts)));
        }
    }

    private static boolean isVersion(String text) {
        return text.length() == VERSION_PREFIX.length() + 1
                && text.startsWith(VERSION_PREFIX)
                && isDigit(text.charAt(VERSION_PREFIX.length()));
    }

    private static boolean isStatus(String text) {
        return text.length() == STATUS_DIGITS
                && text.charAt(0) >= '1'
                && text.charAt(0) <= '5'
                && isDigit(text.charAt(1))
                && isDigit(text.charAt(2));
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }
}
