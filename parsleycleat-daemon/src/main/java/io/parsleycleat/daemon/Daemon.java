package io.parsleycleat.daemon;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.process.common.ProcessSignals;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.logging.Logging;
import io.parsleycleat.core.process.result.ParsleycleatException;
import io.parsleycleat.core.process.settings.SettingsFile;
import io.parsleycleat.core.process.settings.SettingsNode;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.logging.Level;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/**
 * What the mains of all daemons do: read options and settings, start the process, and stop it on SIGTERM.
 *
 * <p>Created by a main; used by its thread.
 *
 * @param <S> the type of the settings
 */
final class Daemon<S> {
    /** Exit code of a daemon that was stopped. */
    static final int EXIT_OK = 0;
    /** Exit code for wrong options or settings. */
    static final int EXIT_SETTINGS = 2;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int USAGE_WIDTH_CHARS = 100;

    private final String name;
    private final Function<SettingsNode, S> reader;
    private final Function<S, String> vmName;
    private final Function<S, RunningProcess> starter;
    private final PrintStream out;
    private final PrintStream err;

    /** A process that was started: what is printed once it listens, and how it stops without cutting a request. */
    record RunningProcess(String listening, Runnable stopper) {
        RunningProcess {
            Objects.requireNonNull(listening, "listening");
            Objects.requireNonNull(stopper, "stopper");
        }

        void stop() {
            stopper.run();
        }
    }

    Daemon(
            String name,
            Function<SettingsNode, S> reader,
            Function<S, String> vmName,
            Function<S, RunningProcess> starter) {
        this.name = name;
        this.reader = reader;
        this.vmName = vmName;
        this.starter = starter;
        this.out = System.out;
        this.err = System.err;
    }

    /** Runs the daemon until it is stopped and returns its exit code. */
    int run(String... arguments) {
        DaemonOptions options = new DaemonOptions();
        CmdLineParser parser =
                new CmdLineParser(options, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH_CHARS));
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            err.println(name + ": " + e.getMessage());
            return EXIT_SETTINGS;
        }
        if (options.isHelp()) {
            out.println("usage: " + name + " --settings FILE [--check-settings]");
            parser.printUsage(out);
            out.println("example: " + name + " --settings /etc/parsleycleat/" + name + ".json");
            return EXIT_OK;
        }
        if (options.isVersion()) {
            out.println(name + " " + Versions.current());
            return EXIT_OK;
        }
        Optional<Path> file = options.settings();
        if (file.isEmpty()) {
            err.println(name + ": --settings FILE is needed; see --help");
            return EXIT_SETTINGS;
        }
        return readAndServe(file.get(), options.isCheckSettings());
    }

    private int readAndServe(Path file, boolean checkOnly) {
        try {
            S settings = SettingsFile.read(file, reader);
            if (checkOnly) {
                out.println("settings are valid");
                return EXIT_OK;
            }
            Logging.start(vmName.apply(settings), Level.INFO);
            serve(settings);
            return EXIT_OK;
        } catch (ParsleycleatException e) {
            err.println(e.getMessage());
            return EXIT_SETTINGS;
        }
    }

    private void serve(S settings) {
        ProcessSignals signals = ProcessSignals.install();
        try {
            RunningProcess process = starter.apply(settings);
            // For what else ends the JVM; the log of such a stop may not be whole.
            signals.stopAtJvmShutdown();
            out.println(process.listening());
            out.flush();
            logger.atInfo().with(LogKeys.PEER, vmName.apply(settings)).log("%s %s started", name, Versions.current());
            signals.awaitStop();
            stop(process);
        } finally {
            signals.end();
        }
    }

    private void stop(RunningProcess process) {
        logger.atInfo().log("%s stops", name);
        try {
            process.stop();
            logger.atInfo().log("%s stopped", name);
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log("%s did not stop in order", name);
        }
    }
}
