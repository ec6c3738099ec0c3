package io.parsleycleat.gateway.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.gateway.MovedTime;
import io.parsleycleat.gateway.StepScheduler;
import io.parsleycleat.gateway.process.gate.EngineControl;
import io.parsleycleat.gateway.process.gate.EngineGate;
import io.parsleycleat.gateway.process.gate.EngineReport;
import io.parsleycleat.gateway.process.gate.ModelOrder;
import io.parsleycleat.gateway.process.gate.OrderLoop;
import io.parsleycleat.gateway.version.routes.AdapterId;
import io.parsleycleat.gateway.version.routes.AdapterVersions;
import io.parsleycleat.gateway.version.routes.EngineSpec;
import io.parsleycleat.gateway.version.routes.ModelSpec;
import io.parsleycleat.wire.gate.RunProgress;
import io.parsleycleat.wire.gate.StartRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Runs a side's gate and order loop through random schedules of lost, late and slow orders, engine and side restarts,
 * new adapter versions and caller disconnects. A simulated engine checks every order, on the schedule's virtual clock.
 */
public class OrderScheduleTest {
    private static final int SEEDS = 200;
    private static final int SLOTS = 3;
    private static final int ADAPTERS = 8;
    private static final int STEPS = 600;
    private static final long WAIT_MILLIS = 1_200;
    /** Tolerance for the order loop, which checks for expired requests every 50 ms. */
    private static final long WAIT_SLACK_MILLIS = 200;

    private static final EngineSpec SPEC = new EngineSpec(
            16, 40_000, 2_000, SLOTS, 3, 2, List.of(new ModelSpec("m", 1_000, 10, Duration.ofMillis(700))));

    @Test
    public void everyScheduleKeepsPlacesFencesAndAnswers() {
        List<String> faults = IntStream.range(0, SEEDS)
                .boxed()
                .flatMap(seed -> new Schedule(seed).run().stream().map(f -> "seed " + seed + ": " + f))
                .toList();
        assertEquals(String.join("\n", faults), "");
    }

    /** One random schedule. */
    private static final class Schedule {
        private final SplittableRandom random;
        private final MovedTime time = new MovedTime();
        private final StepScheduler thread = new StepScheduler(time);
        private final List<String> faults = new ArrayList<>();
        private final Engine engine = new Engine();
        private final AdapterVersions versions = new AdapterVersions();
        private final Map<Long, Long> askedNanos = new HashMap<>();
        private Side side;
        private long fences;
        private long tickets;
        private long grants;

        Schedule(int seed) {
            this.random = new SplittableRandom(seed);
            this.side = new Side();
        }

        List<String> run() {
            IntStream.range(0, STEPS).forEach(i -> {
                step();
                thread.runFor(Duration.ofMillis(random.nextInt(40)));
                checkWaits();
            });
            engine.calm = true;
            thread.runFor(Duration.ofSeconds(15));
            checkWaits();
            if (!askedNanos.isEmpty()) {
                faults.add(askedNanos.size() + " requests without an answer");
            }
            if (grants == 0) {
                faults.add("no start was granted");
            }
            return faults.stream().distinct().toList();
        }

        private void step() {
            int kind = random.nextInt(100);
            if (kind < 70) {
                side.ask(random.nextInt(ADAPTERS));
            } else if (kind < 72) {
                versions.name(adapter(random.nextInt(ADAPTERS)), random.nextInt(1, 5), time.monotonicNanos());
            } else if (kind == 72) {
                engine.restart();
            } else if (kind == 73) {
                askedNanos.clear();
                side.dead = true;
                side = new Side();
            } else if (kind == 74) {
                askedNanos.clear();
                side.gate.onCallerDisconnected("entry");
            }
        }

        private void checkWaits() {
            long limit = time.monotonicNanos() - TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS + WAIT_SLACK_MILLIS);
            askedNanos.values().stream()
                    .filter(n -> n < limit)
                    .forEach(n -> faults.add("a request waits beyond its limit"));
        }

        private static AdapterId adapter(int number) {
            return new AdapterId("m", "a" + number);
        }

        /** One incarnation of the side process. */
        private final class Side {
            private final EngineGate gate = new EngineGate(versions, time);
            private boolean dead;

            Side() {
                gate.setSpec(SPEC, Duration.ofMillis(300));
                new OrderLoop(
                                gate,
                                new Link(this),
                                () -> CompletableFuture.completedFuture(++fences),
                                () -> Optional.of("/health"),
                                thread,
                                time,
                                () -> {})
                        .start();
            }

            void ask(int number) {
                long ticket = ++tickets;
                AdapterId adapter = adapter(number);
                StartRequest request = StartRequest.newBuilder()
                        .setTicket(ticket)
                        .setModel("m")
                        .setAdapter(adapter.adapter())
                        .setPromptTokens(random.nextInt(10, 2_000))
                        .setOutputTokens(random.nextInt(10, 500))
                        .setPriority(random.nextInt(3))
                        .setObjectiveMillis(800)
                        .setWaitMillis((int) WAIT_MILLIS)
                        .build();
                EngineGate.TicketKey key = new EngineGate.TicketKey("entry", ticket);
                askedNanos.put(ticket, time.monotonicNanos());
                gate.requestStart(key, request, grant -> {
                    if (dead) {
                        return;
                    }
                    if (askedNanos.remove(ticket) == null) {
                        faults.add("a request is answered twice, or after its caller left");
                    }
                    if (grant.getRefusalCode() == 0) {
                        grants++;
                        runs(key, adapter, grant.getVersion());
                    }
                });
            }

            private void runs(EngineGate.TicketKey key, AdapterId adapter, long version) {
                long born = engine.born;
                Long held = engine.resident.get(adapter);
                if (held != null && held < version) {
                    faults.add("version " + version + " was granted, " + held + " is there");
                }
                engine.use(adapter);
                long first = random.nextInt(20, 200);
                thread.schedule(
                        () -> gate.onProgress(key, RunProgress.Stage.FIRST_EVENT), first, TimeUnit.MILLISECONDS);
                thread.schedule(
                        () -> {
                            engine.release(adapter, born);
                            gate.onProgress(key, RunProgress.Stage.ENDED);
                        },
                        first + random.nextInt(900),
                        TimeUnit.MILLISECONDS);
            }
        }

        /** Connection of one side incarnation to the engine; a stopped side gets no answers and sends no orders. */
        private final class Link implements EngineControl {
            private final Side owner;

            Link(Side owner) {
                this.owner = owner;
            }

            @Override
            public CompletableFuture<EngineReport> fetchReport() {
                return owner.dead ? new CompletableFuture<>() : later(engine::report, random.nextInt(1, 10));
            }

            @Override
            public CompletableFuture<String> fetchEngineId(String healthPath) {
                return later(() -> "i-" + engine.born, 1);
            }

            @Override
            public CompletableFuture<ModelOrder.Outcome> sendOrder(ModelOrder order) {
                if (owner.dead) {
                    return new CompletableFuture<>();
                }
                int kind = engine.calm ? 99 : random.nextInt(100);
                if (kind < 8) {
                    return new CompletableFuture<>();
                }
                if (kind < 20) {
                    later(() -> engine.take(order), random.nextInt(2_000, 12_000));
                    return new CompletableFuture<>();
                }
                if (kind < 26) {
                    engine.take(order);
                    return new CompletableFuture<>();
                }
                return later(() -> engine.take(order), kind < 32 ? random.nextInt(80, 400) : random.nextInt(1, 20));
            }

            private <T> CompletableFuture<T> later(Supplier<T> work, int millis) {
                CompletableFuture<T> answer = new CompletableFuture<>();
                thread.schedule(() -> answer.complete(work.get()), millis, TimeUnit.MILLISECONDS);
                return answer;
            }
        }

        /** The engine; checks the order count and fencing token, and records a fault when adapters exceed its slots. */
        private final class Engine {
            private final Map<AdapterId, Long> resident = new HashMap<>();
            private final Map<AdapterId, Long> coming = new HashMap<>();
            private final Map<AdapterId, Integer> users = new HashMap<>();
            private long born = 1;
            private long accepted;
            private long fence;
            private boolean calm;

            EngineReport report() {
                return new EngineReport(born, accepted, false, Set.of("m"), resident, coming, 0, 0, 40_000);
            }

            void restart() {
                born++;
                accepted = 0;
                fence = 0;
                resident.clear();
                coming.clear();
                users.clear();
            }

            void use(AdapterId adapter) {
                users.merge(adapter, 1, Integer::sum);
            }

            void release(AdapterId adapter, long start) {
                if (start == born) {
                    users.computeIfPresent(adapter, (a, n) -> n > 1 ? n - 1 : null);
                }
            }

            ModelOrder.Outcome take(ModelOrder order) {
                if (!order.engineId().equals("i-" + born)) {
                    return ModelOrder.Outcome.WRONG_ENGINE;
                }
                if (order.fencingToken() < fence) {
                    return ModelOrder.Outcome.FENCED;
                }
                fence = order.fencingToken();
                if (order.expectedAcceptedOrders() != accepted) {
                    return ModelOrder.Outcome.CONFLICT;
                }
                return order.operation() == ModelOrder.Operation.LOAD ? load(order) : unload(order);
            }

            private ModelOrder.Outcome load(ModelOrder order) {
                AdapterId adapter = order.target();
                accepted++;
                coming.put(adapter, order.version());
                Set<AdapterId> places = new HashSet<>(resident.keySet());
                places.addAll(coming.keySet());
                if (places.size() > SLOTS) {
                    faults.add("more adapters than places: "
                            + places.stream().map(AdapterId::toString).sorted().collect(Collectors.joining(", ")));
                }
                long start = born;
                thread.schedule(() -> arrive(adapter, start), random.nextInt(20, 300), TimeUnit.MILLISECONDS);
                return ModelOrder.Outcome.STARTED;
            }

            /** Completes a load. A replacement is delayed until no run uses the previous version. */
            private void arrive(AdapterId adapter, long start) {
                if (start != born || !coming.containsKey(adapter)) {
                    return;
                }
                if (resident.containsKey(adapter) && users.containsKey(adapter)) {
                    thread.schedule(() -> arrive(adapter, start), 20, TimeUnit.MILLISECONDS);
                    return;
                }
                coming.remove(adapter);
                resident.put(adapter, Math.max(1, versions.newest(adapter)));
            }

            private ModelOrder.Outcome unload(ModelOrder order) {
                if (users.containsKey(order.target()) || coming.containsKey(order.target())) {
                    return ModelOrder.Outcome.CONFLICT;
                }
                accepted++;
                resident.remove(order.target());
                return ModelOrder.Outcome.DONE;
            }
        }
    }

    @Test
    public void aScheduleIsTheSameEachTime() {
        Schedule one = new Schedule(7);
        Schedule other = new Schedule(7);
        one.run();
        other.run();
        assertTrue(one.grants > 0);
        assertEquals(one.grants, other.grants);
    }
}
