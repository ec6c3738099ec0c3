import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start, to a file and to the standard output. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Returns the milliseconds since the start. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        String text = String.format(Locale.ROOT, "%8.3f s  ", now() / 1_000.0) + String.format(Locale.ROOT, format, values);
        out.println(text);
        System.out.println(text);
    }
}
