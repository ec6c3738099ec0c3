package io.parsleycleat.standin;

import io.parsleycleat.core.process.logging.Logging;
import io.parsleycleat.standin.command.Command;
import io.parsleycleat.standin.command.LogCommand;
import io.parsleycleat.standin.command.ModelEngineCommand;
import io.parsleycleat.standin.command.PlainServiceCommand;
import io.parsleycleat.standin.command.VmListCommand;
import io.parsleycleat.standin.command.WeightStoreCommand;
import io.parsleycleat.standin.load.LoadCommand;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.logging.Level;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** The command line of the stand-ins and the load tool: a sub-command and its options. */
public final class StandInMain {
    private static final int EXIT_USAGE = 2;
    private static final Map<String, Supplier<Command>> COMMANDS = new TreeMap<>(Map.of(
            "load", LoadCommand::new,
            "log", LogCommand::new,
            "weight-store", WeightStoreCommand::new,
            "vm-list", VmListCommand::new,
            "model-engine", ModelEngineCommand::new,
            "plain-service", PlainServiceCommand::new));

    private StandInMain() {}

    /** Runs a sub-command. */
    public static void main(String[] arguments) throws Exception {
        Supplier<Command> command = arguments.length == 0 ? null : COMMANDS.get(arguments[0]);
        if (command == null) {
            System.err.println("usage: <sub-command> [options], sub-commands: " + String.join(", ", COMMANDS.keySet()));
            System.exit(EXIT_USAGE);
            return;
        }
        Logging.start(arguments[0], Level.WARNING);
        System.exit(run(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length)));
    }

    private static int run(Command command, String... options) throws Exception {
        CmdLineParser parser = new CmdLineParser(command);
        if (Arrays.asList(options).contains("--help")) {
            parser.printUsage(System.out);
            return 0;
        }
        try {
            parser.parseArgument(options);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            return EXIT_USAGE;
        }
        return command.run();
    }
}
