package io.parsleycleat.scenario;

import io.parsleycleat.standin.fleet.DaemonNode;
import io.parsleycleat.standin.fleet.StandInNode;
import io.parsleycleat.standin.history.HistoryEvent;
import io.parsleycleat.standin.history.HistoryRecorder;
import io.parsleycleat.standin.http.Json;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A fault, or a planned stop, that begins and ends while requests are under way. */
record Disturbance(String name, boolean planned, Runnable begin, Runnable end) {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);

    /** Returns the disturbances that a scenario names, joined by "and". */
    static List<Disturbance> parse(Deployment deployment, String names) {
        return Arrays.stream(names.split(" and "))
                .filter(n -> !n.equals("nothing fails"))
                .map(n -> of(deployment, n.strip()))
                .toList();
    }

    /** Begins after a while, ends after another, and tells the history about both. */
    CompletableFuture<Void> run(HistoryRecorder recorder, long beginMillis, long lastMillis) {
        return CompletableFuture.runAsync(begin, CompletableFuture.delayedExecutor(beginMillis, TimeUnit.MILLISECONDS))
                .thenApply(nothing -> System.currentTimeMillis())
                .thenCompose(at -> CompletableFuture.runAsync(
                                end, CompletableFuture.delayedExecutor(lastMillis, TimeUnit.MILLISECONDS))
                        .thenRun(() -> recorder.add(
                                planned
                                        ? new HistoryEvent.PlannedStop(at, name)
                                        : new HistoryEvent.Fault(at - 500, System.currentTimeMillis(), name, ""))));
    }

    private static Disturbance of(Deployment d, String name) {
        return switch (name) {
            case "a service side is killed" -> killed(d, name, d.serviceSides(), 0);
            case "a service side is frozen" -> frozen(name, d.serviceSides().get(0));
            case "a service side is stopped in the planned way" -> stopped(d, name, d.serviceSides(), 0);
            case "an engine side is killed" -> killed(d, name, d.engineSides(), 0);
            case "an engine side is frozen" -> frozen(name, d.engineSides().get(0));
            case "an engine side is stopped in the planned way" -> stopped(d, name, d.engineSides(), 0);
            case "an entry is killed" -> killed(d, name, d.entries(), 1);
            case "an entry is frozen" -> frozen(name, d.entries().get(1));
            case "an entry is stopped in the planned way" -> stopped(d, name, d.entries(), 1);
            case "an engine restarts empty" -> new Disturbance(
                    name, false, () -> d.engines().get(0).order("crash", Json.object()), () -> {});
            case "the log is out" -> faulty(name, d.fleet().log(), "refuse", 0);
            case "the log hangs" -> faulty(name, d.fleet().log(), "hang", 0);
            case "the log is slow" -> faulty(name, d.fleet().log(), "none", 400);
            case "the log loses answers" -> new Disturbance(
                    name,
                    false,
                    () -> d.fleet().log().order("lose-answers", Json.object().put("count", 5)),
                    () -> d.fleet().log().order("lose-answers", Json.object().put("count", 0)));
            case "the VM list is out" -> faulty(name, d.fleet().vmList(), "refuse", 0);
            case "the service cuts its answers" -> new Disturbance(
                    name, false, () -> d.services().forEach(s -> cut(s, 3)), () -> d.services()
                            .forEach(s -> cut(s, 0)));
            default -> throw new IllegalArgumentException("no disturbance " + name);
        };
    }

    private static Disturbance killed(Deployment d, String name, List<DaemonNode> nodes, int index) {
        return new Disturbance(name, false, () -> nodes.get(index).process().kill(), () -> d.restart(nodes, index));
    }

    private static Disturbance frozen(String name, DaemonNode node) {
        return new Disturbance(
                name, false, () -> node.process().freeze(), () -> node.process().thaw());
    }

    private static Disturbance stopped(Deployment d, String name, List<DaemonNode> nodes, int index) {
        return new Disturbance(name, true, () -> nodes.get(index).process().terminate(), () -> {
            if (nodes.get(index).process().awaitExit(STOP_TIMEOUT).isEmpty()) {
                throw new IllegalStateException("the process did not stop");
            }
            d.restart(nodes, index);
        });
    }

    private static Disturbance faulty(String name, StandInNode node, String mode, long delayMillis) {
        return new Disturbance(name, false, () -> faults(node, mode, delayMillis), () -> faults(node, "none", 0));
    }

    private static void faults(StandInNode node, String mode, long delayMillis) {
        node.order("faults", Json.object().put("mode", mode).put("delayMillis", delayMillis));
    }

    private static void cut(StandInNode service, int times) {
        service.order(
                "behaviour",
                Json.object()
                        .put("failure", times > 0 ? "cut-after-effect" : "none")
                        .put("times", times));
    }
}
