package io.parsleycleat.standin.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;

/**
 * One Java process of a fleet: its output, its signals and its end.
 *
 * <p>Created by {@link Fleet}; safe to share between threads. Standard error goes to a file, standard output is read
 * line by line.
 */
public final class FleetProcess {
    private static final Duration SIGNAL_TIMEOUT = Duration.ofSeconds(5);
    private static final int SHOWN_ERROR_LINES = 30;

    private final String name;
    private final Process process;
    private final Path errors;
    private final List<String> output = Collections.synchronizedList(new ArrayList<>());
    private final CompletableFuture<String> ready = new CompletableFuture<>();

    private FleetProcess(String name, Process process, Path errors) {
        this.name = name;
        this.process = process;
        this.errors = errors;
    }

    /**
     * Starts a main class with the class path of this process.
     *
     * @param directory takes the process's standard error
     */
    static FleetProcess start(
            String name, Path directory, List<String> jvmOptions, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", classPath(), mainClass));
        command.addAll(arguments);
        Path errors = directory.resolve(name + ".log");
        try {
            Process process = new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()))
                    .start();
            FleetProcess started = new FleetProcess(name, process, errors);
            Thread reader = new Thread(started::readOutput, "output of " + name);
            reader.setDaemon(true);
            reader.start();
            return started;
        } catch (IOException e) {
            throw new FleetException(name + " cannot be started", e);
        }
    }

    /** Returns the name that the fleet gave it. */
    public String name() {
        return name;
    }

    /** Returns the id of the operating system. */
    public long pid() {
        return process.pid();
    }

    /** Returns whether the process runs, or is frozen. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for the line that tells that the process listens, and returns it. */
    public String awaitListening(Duration timeout) {
        try {
            return ready.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException(name + ": interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new FleetException(name + " did not start: " + lastErrors(), e);
        }
    }

    /** Returns the lines of standard output so far. */
    public List<String> output() {
        synchronized (output) {
            return List.copyOf(output);
        }
    }

    /** Returns the lines of standard error so far. */
    public List<String> errors() {
        try {
            return Files.readAllLines(errors, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new FleetException("the log of " + name + " cannot be read", e);
        }
    }

    // Signals

    /** Asks the process to stop gracefully. */
    public void terminate() {
        process.destroy();
    }

    /** Ends the process at once. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Freezes the process. */
    public void freeze() {
        signal("-STOP");
    }

    /** Lets a frozen process run again. */
    public void thaw() {
        signal("-CONT");
    }

    /** Waits for the end and returns the exit code, or nothing when the process still runs after the time. */
    public Optional<Integer> awaitExit(Duration timeout) {
        try {
            return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)
                    ? Optional.of(process.exitValue())
                    : Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Returns the processor time that the process has used. */
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    // Internals

    private void signal(String signal) {
        try {
            Process kill = new ProcessBuilder("kill", signal, Long.toString(pid())).start();
            boolean done = kill.waitFor(SIGNAL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            if (!done || kill.exitValue() != 0) {
                throw new FleetException("signal " + signal + " did not reach " + name);
            }
        } catch (IOException e) {
            throw new FleetException("signal " + signal + " did not reach " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException(name + ": interrupted", e);
        }
    }

    private void readOutput() {
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            reader.lines().forEach(line -> {
                output.add(line);
                if (line.startsWith("listening ")) {
                    ready.complete(line);
                }
            });
        } catch (IOException | UncheckedIOException e) {
            output.add("output ended: " + e.getMessage());
        }
        ready.completeExceptionally(new FleetException(name + " ended"));
    }

    private String lastErrors() {
        List<String> lines = errors();
        return lines.stream()
                .skip(Math.max(0, lines.size() - SHOWN_ERROR_LINES))
                .collect(Collectors.joining(System.lineSeparator()));
    }

    private static String classPath() {
        String tests = System.getProperty("surefire.test.class.path");
        return Objects.requireNonNullElse(tests, System.getProperty("java.class.path", "."));
    }

    @Override
    public String toString() {
        return name + " (" + pid() + ")";
    }
}
