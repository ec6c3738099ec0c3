package io.parsleycleat.daemon.command;

import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.core.version.configuration.keys.KeyFormat;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/**
 * One command with the options that all commands have. Its fields are set by the argument parser.
 *
 * <p>Created for each run of the command line; used by one thread.
 */
abstract class Command {
    /** The variable of the environment that may hold the operator key. */
    static final String KEY_VARIABLE = "PARSLEYCLEAT_OPERATOR_KEY";

    /** How a table is printed. */
    enum Output {
        table,
        json
    }

    @Option(name = "--server", metaVar = "IP:PORT", usage = "operators' address of any entry")
    private String server = "127.0.0.1:7003";

    @Option(
            name = "--key-file",
            metaVar = "FILE",
            usage = "file with the operator key; otherwise the variable " + KEY_VARIABLE)
    private @Nullable String keyFile;

    @Option(name = "--output", usage = "how to print")
    private Output output = Output.table;

    @Option(
            name = "--change-id",
            metaVar = "ID",
            usage = "id of the change; give the same one again to learn what became of a change")
    private String changeId = UUID.randomUUID().toString();

    @Option(name = "--timeout", metaVar = "SECONDS", usage = "how long to wait for the answer")
    private int timeoutSeconds = 15;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    private Map<String, String> environment = Map.of();

    /** Runs the command and returns what it shows. */
    abstract Table run();

    /** Returns a command line that a newcomer can copy. */
    abstract String example();

    final void setEnvironment(Map<String, String> newEnvironment) {
        environment = newEnvironment;
    }

    final boolean isHelp() {
        return help;
    }

    final Output output() {
        return output;
    }

    final String changeId() {
        return changeId;
    }

    /** Opens the connection to the entry. */
    final Session open() {
        InetSocketAddress address = IpAddresses.parse(server)
                .orElseThrow(() -> usage("--server: \"" + server + "\" is not an IP address and port"));
        KeyFormat key = KeyFormat.parse(keyText().strip())
                .orElseThrow(() -> usage("the operator key is not of the form that \"key new-secret\" prints"));
        return new Session(address, key, Duration.ofSeconds(timeoutSeconds));
    }

    static CommandException usage(String message) {
        return new CommandException(ExitCode.USAGE, message);
    }

    private String keyText() {
        String file = keyFile;
        if (file != null) {
            try {
                return Files.readString(Path.of(file));
            } catch (IOException e) {
                throw usage("--key-file: " + file + " cannot be read");
            }
        }
        String variable = environment.get(KEY_VARIABLE);
        if (variable == null) {
            throw usage("an operator key is needed: --key-file FILE, or the variable " + KEY_VARIABLE);
        }
        return variable;
    }
}
