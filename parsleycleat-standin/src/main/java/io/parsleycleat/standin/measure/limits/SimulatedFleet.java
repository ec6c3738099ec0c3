package io.parsleycleat.standin.measure.limits;

import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.connection.platform.WeightStoreLimits;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.limits.EscrowLimiter;
import io.parsleycleat.core.process.limits.EscrowLoadPermits;
import io.parsleycleat.core.process.limits.EscrowSettings;
import io.parsleycleat.core.process.limits.Reservation;
import io.parsleycleat.core.process.membership.EpochSettings;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.wire.configuration.Account;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Entries with real limiters on a simulated network, clock and platform.
 *
 * <p>Created for each simulation and used by one thread.
 */
public final class SimulatedFleet {
    /** What the simulated weight store allows. */
    public static final WeightStoreLimits WEIGHT_STORE = new WeightStoreLimits(3, 8, 0);

    private static final Duration TICK = Duration.ofMillis(500);
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration LIST_LAG = Duration.ofSeconds(2);
    private static final Duration CONFIGURATION_SPREAD = Duration.ofSeconds(2);
    private static final int FIRST_PORT = 1000;
    private static final int FIRST_SIDE_PORT = 5000;

    /** One start of an entry. */
    private record Entry(SimulatedProcess process, SimulatedAccounts accounts, EscrowLimiter limiter) {}

    private final Random random;
    private final EscrowSettings settings;
    private final EpochSettings epochSettings;
    private final int regions;
    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedNetwork network;
    private final SimulatedPlatform platform;
    private final Map<Integer, Entry> entries = new TreeMap<>();
    private final Map<String, Account> accounts = new TreeMap<>();
    private final Set<Integer> everStarted = new TreeSet<>();
    private long incarnations;

    /** Creates a fleet without entries. */
    public SimulatedFleet(long seed, int regions, EscrowSettings settings, EpochSettings epochSettings) {
        this.random = new Random(seed);
        this.regions = regions;
        this.settings = settings;
        this.epochSettings = epochSettings;
        this.network = new SimulatedNetwork(time, random);
        this.platform = new SimulatedPlatform(time, random, LIST_LAG);
    }

    // Parts

    /** Returns the clock. */
    public SimulatedTime time() {
        return time;
    }

    /** Returns the network. */
    public SimulatedNetwork network() {
        return network;
    }

    /** Returns the platform. */
    public SimulatedPlatform platform() {
        return platform;
    }

    /** Returns the numbers of the entries that were started and not removed. */
    public Collection<Integer> entries() {
        return entries.keySet();
    }

    /** Returns the numbers of all entries that were ever started. */
    public Collection<Integer> everStarted() {
        return everStarted;
    }

    /** Returns the process of an entry. */
    public SimulatedProcess process(int number) {
        return entry(number).process();
    }

    // Life of entries

    /** Starts an entry, again with a new incarnation when it was started before. */
    public void start(int number) {
        Entry earlier = entries.get(number);
        if (earlier != null) {
            earlier.process().kill();
        }
        incarnations++;
        everStarted.add(number);
        String address = "127.0.0.1:" + (FIRST_PORT + number);
        String region = "region-" + number % regions;
        String dataCentre = region + "-dc-" + number / regions % 2;
        ProcessIdentity identity =
                new ProcessIdentity("entry-" + number, ProcessRole.ENTRY, dataCentre, region, address, incarnations);
        SimulatedProcess process = new SimulatedProcess(identity, time);
        network.add(process);
        platform.put(vm(identity, false));
        Membership membership = new Membership(platform.vmListOf(process), time);
        SimulatedAccounts known = new SimulatedAccounts(accounts.values());
        EscrowLimiter limiter = EscrowLimiter.builder()
                .identity(identity)
                .peers(network.clientOf(process))
                .frames(process)
                .configuration(known)
                .membership(membership)
                .log(platform.logOf(process))
                .time(time)
                .settings(settings)
                .weightStore(WEIGHT_STORE)
                .epochSettings(epochSettings)
                .build();
        entries.put(number, new Entry(process, known, limiter));
        membership.refresh();
        process.every(LIST_INTERVAL, membership::refresh);
        time.after(
                Duration.ofMillis(random.nextInt(100)),
                () -> process.run(() -> {
                    limiter.tick();
                    process.every(TICK, limiter::tick);
                }));
    }

    /** Starts a side and returns its permits for the weight store. */
    public EscrowLoadPermits startSide(int number) {
        String region = "region-" + number % regions;
        String address = "127.0.0.1:" + (FIRST_SIDE_PORT + number);
        ProcessIdentity identity =
                new ProcessIdentity("side-" + number, ProcessRole.SIDE, region + "-dc-0", region, address, 1);
        SimulatedProcess process = new SimulatedProcess(identity, time);
        network.add(process);
        Membership membership = new Membership(platform.vmListOf(process), time);
        membership.refresh();
        process.every(LIST_INTERVAL, membership::refresh);
        return new EscrowLoadPermits(identity, network.clientOf(process), membership, time, settings);
    }

    /** Kills an entry; the platform notices after a while. */
    public void kill(int number, Duration noticedAfter) {
        Entry entry = entry(number);
        entry.process().kill();
        entries.remove(number);
        time.after(noticedAfter, () -> {
            if (!entries.containsKey(number)) {
                platform.remove(entry.process().identity().vmName());
            }
        });
    }

    /** Freezes an entry's process. */
    public void freeze(int number, Duration duration) {
        entry(number).process().freeze(duration);
    }

    /** Lists an entry as leaving, or no longer so. */
    public void leave(int number, boolean leaving) {
        platform.put(vm(process(number).identity(), leaving));
    }

    /** Drops an entry from the VM list although it lives, or lists it again. */
    public void list(int number, boolean listed) {
        if (listed) {
            leave(number, false);
        } else {
            platform.remove(process(number).identity().vmName());
        }
    }

    // Accounts and requests

    /** Creates or changes an account, which each entry learns within some seconds. */
    public void put(Account account) {
        accounts.put(account.getId(), account);
        entries.values().forEach(e -> {
            long delay = (long) (random.nextDouble() * CONFIGURATION_SPREAD.toNanos());
            time.after(Duration.ofNanos(delay), () -> e.process()
                    .run(() -> e.accounts().put(account)));
        });
    }

    /** Asks an entry for tokens. */
    public void reserve(int number, Account account, double tokens, Consumer<Either<Refusal, Reservation>> result) {
        Entry entry = entry(number);
        entry.process().run(() -> entry.limiter().reserve(account, tokens).thenAccept(result));
    }

    /** Returns how many parts of an account's budget the running entries may spend together. */
    public int heldParts(Account account) {
        return entries.values().stream()
                .filter(e -> e.process().isRunning())
                .mapToInt(e -> e.limiter().heldParts(account.getId()))
                .sum();
    }

    private Entry entry(int number) {
        Entry entry = entries.get(number);
        if (entry == null) {
            throw new IllegalArgumentException("no entry " + number);
        }
        return entry;
    }

    private static Vm vm(ProcessIdentity identity, boolean leaving) {
        return new Vm(
                identity.vmName(),
                ProcessRole.ENTRY,
                identity.peerAddress(),
                identity.dataCentre(),
                identity.region(),
                "",
                leaving);
    }
}
