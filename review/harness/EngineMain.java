import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** An engine as a process of its own, so that it can be killed. Arguments: id, service, ip, models, one answer in how many is unframed, runs file. */
final class EngineMain {
    public static void main(String[] a) throws Exception {
        Path runs = Path.of(a[5]);
        Engine e = new Engine(a[0], a[1], a[2], 0, a[3], (id, m) -> {
            try {
                synchronized (runs) {
                    Files.writeString(runs, id + " " + m.header("Request-Id") + " from "
                            + m.header("Last-Event-Id") + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                }
            } catch (java.io.IOException x) {
                throw new java.io.UncheckedIOException(x);
            }
        });
        e.unframedEach = Integer.parseInt(a[4]);
        e.events = 60;
        e.eventMillis = 100;
        System.out.println("entry " + e.entry("bole", 3));
        Thread.sleep(200_000);
    }
}
