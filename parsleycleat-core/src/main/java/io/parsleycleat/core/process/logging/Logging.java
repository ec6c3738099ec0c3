package io.parsleycleat.core.process.logging;

import java.util.Arrays;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Sets up the structured log of a process. Called once at the start. */
public final class Logging {
    private Logging() {}

    /** Sends records of at least this level to standard error, one JSON object a line. */
    public static void start(String vmName, Level level) {
        install(new ConsoleHandler(), vmName, level);
    }

    /**
     * Sends records of at least this level to standard output, without ever waiting for who reads it.
     *
     * @return the handler, which counts what it had to drop
     */
    public static AsyncLogHandler startAsync(String vmName, Level level) {
        AsyncLogHandler handler = new AsyncLogHandler(System.out);
        install(handler, vmName, level);
        return handler;
    }

    private static void install(Handler handler, String vmName, Level level) {
        Logger root = LogManager.getLogManager().getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        handler.setFormatter(new JsonLogFormatter(vmName));
        handler.setLevel(level);
        root.addHandler(handler);
        root.setLevel(level);
    }
}
