package io.parsleycleat.daemon.command;

import io.parsleycleat.wire.configuration.ItemKind;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.ParserProperties;

/**
 * The operators' command line.
 *
 * <p>Created once by {@link #main}, or by a test; used by one thread.
 */
public final class CommandMain {
    private static final String NAME = "parsleycleat";
    private static final String UNRELEASED = "unreleased";
    private static final int USAGE_WIDTH = 110;

    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;

    /** Creates a command line that prints to the given streams. */
    public CommandMain(Map<String, String> environment, PrintStream out, PrintStream err) {
        this.environment = environment;
        this.out = out;
        this.err = err;
    }

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        Logger.getLogger("io.grpc").setLevel(Level.SEVERE);
        System.exit(new CommandMain(System.getenv(), System.out, System.err).run(arguments));
    }

    /** Runs one command and returns its exit code. */
    public int run(String... arguments) {
        if (arguments.length == 0 || isOneOf(arguments[0], "--help", "help")) {
            printCommands();
            return ExitCode.DONE.number();
        }
        if (isOneOf(arguments[0], "--version")) {
            out.println(NAME + " " + version());
            return ExitCode.DONE.number();
        }
        String name = commandName(arguments);
        Supplier<Command> command = commands().get(name);
        if (command == null) {
            err.println("there is no command \"" + name + "\"; " + NAME + " --help lists them");
            return ExitCode.USAGE.number();
        }
        int words = name.split(" ", -1).length;
        return run(name, command.get(), List.of(arguments).subList(words, arguments.length));
    }

    private int run(String name, Command command, List<String> arguments) {
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
        try {
            parser.parseArgument(arguments);
            if (command.isHelp()) {
                printHelp(name, command, parser);
                return ExitCode.DONE.number();
            }
            command.setEnvironment(environment);
            print(command, command.run());
            return ExitCode.DONE.number();
        } catch (CmdLineException e) {
            err.println(e.getMessage() + "; " + NAME + " " + name + " --help tells more");
            return ExitCode.USAGE.number();
        } catch (CommandException e) {
            err.println(e.getMessage());
            return e.exitCode().number();
        }
    }

    // Commands

    private Map<String, Supplier<Command>> commands() {
        Map<String, Supplier<Command>> commands = new TreeMap<>(Map.of(
                "account put", ItemCommands.PutAccount::new,
                "route put", ItemCommands.PutRoute::new,
                "adapter put", ItemCommands.PutAdapter::new,
                "upstream put", ItemCommands.PutUpstream::new,
                "key create", KeyCommands.Create::new,
                "key withdraw", KeyCommands.Withdraw::new,
                "key new-secret", KeyCommands.NewSecret::new,
                "fleet list", ReportCommands.Fleet::new,
                "explain", ReportCommands.Explain::new));
        commands.put("audit list", () -> new ReportCommands.Audit(table -> table.print(out)));
        Stream.of("account", "route", "adapter", "upstream", "quarantine").forEach(kind -> {
            commands.put(kind + " list", () -> new ReportCommands.ListItems(kind(kind)));
            commands.put(kind + " remove", () -> new ItemCommands.Remove(kind(kind)));
        });
        commands.put("key list", () -> new ReportCommands.ListItems(ItemKind.ITEM_KIND_KEY));
        return commands;
    }

    private static ItemKind kind(String name) {
        return ItemKind.valueOf("ITEM_KIND_" + name.toUpperCase(Locale.ROOT));
    }

    /** Returns the words before the first option, two at most; one for the command that takes an id at once. */
    private static String commandName(String[] arguments) {
        int words = arguments[0].equals("explain") ? 1 : 2;
        return Arrays.stream(arguments).limit(words).collect(Collectors.joining(" "));
    }

    // Printing

    private void print(Command command, Table table) {
        if (command.output() == Command.Output.json) {
            table.printJson(out);
        } else {
            table.print(out);
        }
    }

    private void printCommands() {
        out.println("usage: " + NAME + " COMMAND [options]");
        out.println();
        commands()
                .forEach((name, command) ->
                        out.println("  " + NAME + " " + command.get().example()));
        out.println();
        out.println("Each command explains its options with --help.");
        out.println("Exit codes: 0 done, 2 wrong usage, 3 refused, 4 unknown (ask again with the change id),");
        out.println("5 server unreachable.");
    }

    private void printHelp(String name, Command command, CmdLineParser parser) {
        ByteArrayOutputStream usage = new ByteArrayOutputStream();
        parser.printUsage(usage);
        out.println("usage: " + NAME + " " + name + parser.printExample(OptionHandlerFilter.REQUIRED));
        out.print(usage.toString(StandardCharsets.UTF_8));
        out.println("example: " + NAME + " " + command.example());
    }

    private static String version() {
        return Optional.ofNullable(CommandMain.class.getPackage().getImplementationVersion())
                .orElse(UNRELEASED);
    }

    private static boolean isOneOf(String argument, String... options) {
        return Arrays.asList(options).contains(argument);
    }
}
