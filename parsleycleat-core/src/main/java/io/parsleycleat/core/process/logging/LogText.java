package io.parsleycleat.core.process.logging;

/** Makes text from outside fit for a log line. Stateless. */
public final class LogText {
    private static final int MAX_CHARS = 120;

    private LogText() {}

    /** Returns the first characters of a text, in which all but printable ASCII is replaced by question marks. */
    public static String firstPrintable(String text) {
        String first = text.substring(0, Math.min(text.length(), MAX_CHARS));
        return first.replaceAll("[^\\x20-\\x7e]", "?");
    }
}
