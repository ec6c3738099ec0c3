package io.parsleycleat.core.process.membership;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.wire.escrow.EpochMember;
import io.parsleycleat.wire.escrow.EpochRecord;
import io.parsleycleat.wire.escrow.PresenceAnswer;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Keeps an entry's knowledge of the epochs, proposes a new one when the VM list differs from the newest, and tells
 * whether this entry and others still stand.
 *
 * <p>Nothing tails the log: the stream is read when the VM list differs, when a message names a newer epoch, and to
 * confirm this entry while the VM list is out. Created once by the entry; safe to share between threads.
 */
public final class EpochKeeper implements EpochSource {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int COMPARED_EPOCHS = 2;
    private static final int LAPSES_OF_REPLACED_REGION = 3;

    /** Called for each epoch in order. Must not block. */
    @FunctionalInterface
    public interface Listener {
        /** Takes in an epoch, with those before it, oldest first. */
        void adopted(Epoch epoch, List<Epoch> earlier);
    }

    private final ProcessIdentity identity;
    private final Membership membership;
    private final MembershipLog log;
    private final EpochPeers peers;
    private final TimeSource time;
    private final EpochSettings settings;
    private final Standing standing;
    private final Sightings sightings;

    private final Object lock = new Object();
    private final EpochHistory history = new EpochHistory();
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean reading = new AtomicBoolean();
    private volatile Epoch newest = Epoch.NONE;
    private volatile boolean logRead;
    private List<String> differing = List.of();
    private long differsSince;
    private volatile boolean proposing;

    /** Creates a keeper that knows no epoch yet. */
    public EpochKeeper(
            ProcessIdentity identity,
            Membership membership,
            LogClient log,
            EpochPeers peers,
            TimeSource time,
            EpochSettings settings) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.membership = Objects.requireNonNull(membership, "membership");
        this.log = new MembershipLog(log);
        this.peers = Objects.requireNonNull(peers, "peers");
        this.time = Objects.requireNonNull(time, "time");
        this.settings = settings;
        long now = time.monotonicNanos();
        this.standing = new Standing(settings.standing(), settings.islandBound(), now);
        this.sightings = new Sightings(now);
    }

    // Public operations

    /** Starts to compare the VM list with the epoch at every interval. */
    public void start(ScheduledExecutorService scheduler) {
        scheduler.scheduleWithFixedDelay(this::tick, 0, settings.tickInterval().toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Registers a listener, which is told of the epochs known so far at once. */
    public void onEpoch(Listener listener) {
        synchronized (lock) {
            listeners.add(listener);
            List<Epoch> known = history.epochs();
            for (int i = 0; i < known.size(); i++) {
                listener.adopted(known.get(i), known.subList(0, i));
            }
        }
    }

    @Override
    public long current() {
        return newest.number();
    }

    /** Returns the newest epoch. */
    public Epoch epoch() {
        return newest;
    }

    /** Returns the known epochs, oldest first. */
    public List<Epoch> epochs() {
        synchronized (lock) {
            return history.epochs();
        }
    }

    /** Returns the records of the known epochs from a number on. */
    public List<EpochRecord> recordsFrom(long number) {
        synchronized (lock) {
            return history.from(number);
        }
    }

    /** Returns whether this entry may mint and spend the parts that it holds. */
    public boolean isStanding() {
        return standing.isValid(time.monotonicNanos());
    }

    /** Notes a message from another entry, with the epoch that it named. */
    public void heardFrom(String vmName, String peerAddress, long epoch) {
        sightings.heardFrom(vmName, time.monotonicNanos());
        if (epoch > newest.number() && !peerAddress.isEmpty()) {
            pullFrom(peerAddress);
        }
    }

    /** Returns what this entry knows of another. */
    public PresenceAnswer presenceOf(String vmName) {
        long now = time.monotonicNanos();
        boolean reached = sightings.isListFresh(settings.standing(), now);
        return PresenceAnswer.newBuilder()
                .setEpoch(current())
                .setPlatformReached(reached)
                .setListed(reached && sightings.isListed(vmName))
                .setSilentMillis(sightings.silence(vmName, now).toMillis())
                .build();
    }

    /** Tells whether an entry has lapsed, so that its parts may be taken over without it. */
    public CompletableFuture<Boolean> hasLapsed(String vmName) {
        long now = time.monotonicNanos();
        Duration gone = gone(vmName, now);
        if (gone.compareTo(settings.lapse()) < 0 || !isStanding()) {
            return CompletableFuture.completedFuture(false);
        }
        if (gone.compareTo(settings.islandBound().plus(settings.lapse())) >= 0) {
            return CompletableFuture.completedFuture(true);
        }
        List<List<EpochMember>> groups;
        synchronized (lock) {
            groups = history.neighbours(vmName, identity.region(), COMPARED_EPOCHS);
        }
        return groups.stream()
                .map(group -> askGroup(group, vmName, now))
                .reduce((a, b) -> a.thenCombine(b, Boolean::logicalAnd))
                .orElse(CompletableFuture.completedFuture(false));
    }

    /** Returns for how long an entry was neither listed nor heard from; zero while the list cannot be read. */
    public Duration goneFor(String vmName) {
        return gone(vmName, time.monotonicNanos());
    }

    /** Returns an entry as the newest epoch that it belongs to names it. */
    public Optional<EpochMember> lastMember(String vmName) {
        synchronized (lock) {
            return history.lastMember(vmName);
        }
    }

    /** Compares the VM list with the newest epoch once. */
    public void tick() {
        long now = time.monotonicNanos();
        readList(now);
        boolean listFresh = sightings.isListFresh(settings.standing().dividedBy(2), now);
        if (!logRead || !listFresh || standing.isLapsed(now)) {
            sync();
        }
        if (standing.platformAge(now).compareTo(settings.standing().dividedBy(2)) > 0) {
            askNeighbours(now);
        }
        if (listFresh) {
            compare(now);
        }
    }

    // Epochs

    private CompletableFuture<Void> sync() {
        if (!reading.compareAndSet(false, true)) {
            return CompletableFuture.failedFuture(new IllegalStateException("already reading"));
        }
        long started = time.monotonicNanos();
        return log.readToEnd(this::adopt).whenComplete((done, failure) -> {
            reading.set(false);
            if (failure == null) {
                logRead = true;
                standing.confirmByLog(started, time.monotonicNanos());
            } else if (newest.number() == 0) {
                firstOther().ifPresent(vm -> pullFrom(vm.peerAddress()));
            }
        });
    }

    private void adopt(EpochRecord entry) {
        synchronized (lock) {
            List<Epoch> earlier = history.epochs();
            history.fold(entry).ifPresent(epoch -> {
                newest = epoch;
                logger.atInfo().log(
                        "epoch %d with %d entries, proposed by %s",
                        epoch.number(), epoch.members().size(), entry.getAuthor());
                listeners.forEach(l -> l.adopted(epoch, earlier));
            });
        }
    }

    private void pullFrom(String peerAddress) {
        peers.pull(peerAddress, current() + 1).thenAccept(records -> records.forEach(this::adopt));
    }

    private Optional<Vm> firstOther() {
        return membership.vms(ProcessRole.ENTRY).stream()
                .filter(vm -> !vm.name().equals(identity.vmName()))
                .findFirst();
    }

    // Comparison with the VM list

    private void readList(long now) {
        if (!membership.isRead()) {
            return;
        }
        long readNanos = now - membership.age().toNanos();
        if (!sightings.listRead(membership.vms(), readNanos)) {
            return;
        }
        if (sightings.isListed(identity.vmName())) {
            standing.confirmByPlatform(readNanos, now);
        } else {
            standing.revoke(now);
        }
    }

    private void compare(long now) {
        List<EpochMember> wanted = membership.vms(ProcessRole.ENTRY).stream()
                .filter(vm -> !vm.leaving())
                .map(EpochKeeper::memberOf)
                .toList();
        List<String> names = addresses(wanted);
        if (names.equals(addresses(newest.members())) || names.isEmpty()) {
            differing = List.of();
            return;
        }
        if (!names.equals(differing)) {
            differing = names;
            differsSince = now;
        }
        Duration wait = newest.number() == 0 ? Duration.ZERO : settings.hysteresis();
        int rank = rank(wanted);
        Duration turn = wait.plus(settings.proposalStep().multipliedBy(rank));
        if (rank >= 0 && now - differsSince >= turn.toNanos() && !proposing) {
            proposing = true;
            sync().whenComplete((done, failure) -> propose(wanted, failure));
        }
    }

    private void propose(List<EpochMember> wanted, @Nullable Throwable failure) {
        if (failure != null || addresses(wanted).equals(addresses(newest.members()))) {
            proposing = false;
            return;
        }
        long number = newest.number() == 0 ? log.nextOffset() + 1 : newest.number() + 1;
        EpochRecord proposal = new Epoch(number, wanted).toRecord(identity.vmName(), time.wallMillis());
        log.append(proposal).handle((offset, lost) -> sync().whenComplete((done, f) -> proposing = false));
    }

    private int rank(List<EpochMember> wanted) {
        long next = newest.number() + 1;
        return wanted.stream()
                .map(EpochMember::getVmName)
                .sorted(Comparator.comparingInt((String name) -> Objects.hash(name, next))
                        .thenComparing(Comparator.naturalOrder()))
                .toList()
                .indexOf(identity.vmName());
    }

    private static EpochMember memberOf(Vm vm) {
        return EpochMember.newBuilder()
                .setVmName(vm.name())
                .setDataCentre(vm.dataCentre())
                .setRegion(vm.region())
                .setPeerAddress(vm.peerAddress())
                .build();
    }

    private static List<String> addresses(List<EpochMember> members) {
        return members.stream()
                .map(m -> m.getVmName() + '@' + m.getPeerAddress())
                .sorted()
                .toList();
    }

    // Neighbours

    private void askNeighbours(long now) {
        List<EpochMember> neighbours = newest.members().stream()
                .filter(m -> m.getRegion().equals(identity.region()))
                .filter(m -> !m.getVmName().equals(identity.vmName()))
                .toList();
        AtomicInteger answers = new AtomicInteger();
        neighbours.forEach(m -> peers.presence(m, identity.vmName(), current())
                .thenAccept(answer -> takeIn(answer, m, answers.incrementAndGet(), neighbours.size(), now)));
    }

    private void takeIn(PresenceAnswer answer, EpochMember from, int answers, int asked, long askedNanos) {
        long now = time.monotonicNanos();
        heardFrom(from.getVmName(), from.getPeerAddress(), answer.getEpoch());
        if (answer.getPlatformReached() && !answer.getListed()) {
            standing.revoke(now);
        } else if (answer.getPlatformReached()) {
            standing.confirmByPlatform(askedNanos, now);
        } else if (isMajority(answers, asked)) {
            standing.confirmByNeighbours(askedNanos, now);
        }
    }

    private CompletableFuture<Boolean> askGroup(List<EpochMember> group, String vmName, long now) {
        Duration replaced = settings.lapse().multipliedBy(LAPSES_OF_REPLACED_REGION);
        if (group.stream().allMatch(m -> gone(m.getVmName(), now).compareTo(replaced) >= 0)) {
            return CompletableFuture.completedFuture(gone(vmName, now).compareTo(replaced) >= 0);
        }
        boolean isMember = group.stream().anyMatch(m -> m.getVmName().equals(identity.vmName()));
        List<EpochMember> others = group.stream()
                .filter(m -> !m.getVmName().equals(identity.vmName()))
                .toList();
        List<CompletableFuture<Boolean>> asked = others.stream()
                .map(m -> peers.presence(m, vmName, current())
                        .handle((a, failure) -> failure == null
                                && a.getSilentMillis() >= settings.lapse().toMillis()))
                .toList();
        return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new)).thenApply(done -> {
            int silent = (int) asked.stream().filter(CompletableFuture::join).count() + (isMember ? 1 : 0);
            return isMajority(silent, group.size());
        });
    }

    private Duration gone(String vmName, long now) {
        return sightings.gone(vmName, settings.standing(), now);
    }

    private static boolean isMajority(int count, int of) {
        return count * 2 > of;
    }
}
