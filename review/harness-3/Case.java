import java.nio.file.Files;
import java.nio.file.Path;

/** Runs a case and ends the process with its verdict: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final long MAX_MILLIS = 100_000;

    private Case() {}

    /** What a case does. */
    @FunctionalInterface
    interface Body {
        /** Returns the verdict. Without trouble, nothing is disturbed. */
        int run(Fleet fleet, Record record, boolean trouble) throws Exception;
    }

    /**
     * Runs a case.
     *
     * @param arguments the repository, the folder of the case, and 0 for a run without trouble
     */
    static void run(String[] arguments, Body body) {
        int verdict = NOT_RUN;
        try {
            Threads.daemon(() -> {
                        Threads.sleep(MAX_MILLIS);
                        System.exit(NOT_RUN);
                    })
                    .start();
            verdict = play(arguments, body);
        } catch (Throwable e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(verdict);
    }

    private static int play(String[] arguments, Body body) throws Exception {
        boolean trouble = !arguments[2].equals("0");
        Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        Fleet fleet = new Fleet(
                Path.of(arguments[0]).toAbsolutePath(), Files.createTempDirectory("parsleycleat-review"));
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::end));
        int verdict = NOT_RUN;
        try {
            verdict = body.run(fleet, record, trouble);
        } catch (Exception e) {
            record.line("the case could not run: %s", e);
        }
        record.line("exit code %d", verdict);
        return verdict;
    }
}
