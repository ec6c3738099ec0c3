package io.parsleycleat.core.version.configuration;

import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.PlatformException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.Withdrawals;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * The configuration as this process knows it, and the way to change it.
 *
 * <p>A few processes of each data centre read the log, the others ask them. Whoever learns from any frame that another
 * process knows more asks that one at once. A process becomes ready when it has read the log to its end or has the
 * state of a process that is ready. Created once by the process; safe to share between threads.
 */
public final class ConfigurationStore implements ConfigurationSource, AutoCloseable {
    private static final long TICK_MILLIS = 1_000;
    private static final int PEERS_ASKED_FOR_STATE = 5;

    private final StoreParts parts;
    private final StoreSettings settings;
    private final StateHolder holder = new StateHolder();
    private final LogTailer tailer;
    private final PeerPuller puller;
    private final SourceFollower follower;
    private final PullServer server;
    private final ChangeAppender appender;
    private final WithdrawalRecorder recorder;
    private final AtomicBoolean fetching = new AtomicBoolean();
    private final AtomicInteger fetchedSources = new AtomicInteger();
    private volatile @Nullable RankedList rankedList;
    private volatile boolean closed;

    /** The ranking of one VM list. Created when the list changes; immutable. */
    private record RankedList(List<Vm> vms, TailerRanking ranking) {}

    /** Creates a store that does nothing before it is started. */
    public ConfigurationStore(StoreParts parts, StoreSettings settings) {
        this.parts = parts;
        this.settings = settings;
        puller = new PeerPuller(parts, holder);
        SnapshotWriter writer = new SnapshotWriter(parts, settings, holder, this::rank);
        tailer = new LogTailer(
                parts,
                settings,
                holder,
                this::isTailing,
                page -> {
                    if (isTailer()) {
                        writer.check(page);
                    }
                },
                this::fetchState);
        follower = new SourceFollower(parts, holder, puller, this::plan);
        server = new PullServer(parts, holder, tailer::wake);
        appender = new ChangeAppender(parts, settings, holder, tailer::wake);
        recorder = new WithdrawalRecorder(
                parts, holder, appender, () -> isTailer() ? OptionalInt.of(rank()) : OptionalInt.empty());
        holder.onChange(view -> server.onChange());
    }

    // Operation

    /** Starts to read, to ask and to answer. */
    public void start(FrameRouter router) {
        router.register(Frame.BodyCase.CONFIGURATION, server::handle);
        parts.scheduler().scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        closed = true;
    }

    /** Notes the version that a frame of another process carried. */
    public void onPeerVersion(PeerChannel from, long version) {
        parts.monitor().heardPeer();
        if (holder.isReady() && version > holder.state().version()) {
            parts.membership().vm(from.hello().getVmName()).ifPresent(puller::pullAtOnce);
        }
    }

    // Reading

    @Override
    public ConfigurationView current() {
        return holder.known();
    }

    /** Returns the newest state folded from the log, with item versions and the results of changes. */
    public ConfigurationState state() {
        return holder.state();
    }

    /** Returns the version that frames to other processes carry. */
    public long version() {
        return holder.state().version();
    }

    @Override
    public boolean isReady() {
        return holder.isReady();
    }

    /** Returns whether the log answered when it was last read. */
    public boolean isLogReachable() {
        return tailer.isReachable();
    }

    @Override
    public void onChange(Consumer<ConfigurationView> listener) {
        holder.onChange(listener);
    }

    /** Asks another process for its configuration version. */
    public CompletableFuture<Long> askVersion(Vm vm) {
        return puller.pull(vm, Duration.ZERO);
    }

    // Changing

    /**
     * Appends a change and completes with what became of it, after it was read back. Fails with code {@code
     * CHANGE_UNKNOWN} when that is unknown after a time; the change may be repeated with the same change id.
     */
    public CompletableFuture<AuditEntry> append(Change change) {
        return appender.append(change, settings.changeTimeout());
    }

    /**
     * Withdraws a key: here and at the other processes at once, and in the log as soon as it can be had. While it is
     * not in the log, fails with code {@code CHANGE_NOT_RECORDED} when others have it, too, and with {@code
     * CHANGE_UNKNOWN} when this process alone has it and would take it along when it is lost.
     */
    public CompletableFuture<AuditEntry> withdraw(Change change) {
        holder.withdraw(List.of(change));
        Withdrawals news = Withdrawals.newBuilder().addChanges(change).build();
        List<Vm> others = ranking().allTailersBut(identity().vmName());
        AtomicInteger told = new AtomicInteger();
        others.forEach(vm -> puller.tell(vm, news).thenAccept(done -> told.incrementAndGet()));
        return recorder.record(change).exceptionallyCompose(failure -> {
            boolean shared = told.get() > 0 || others.isEmpty();
            return CompletableFuture.failedFuture(new PlatformException(
                    shared ? ResultCode.CHANGE_NOT_RECORDED : ResultCode.CHANGE_UNKNOWN,
                    "in force here and at " + told.get() + " of " + others.size() + " other readers of the log",
                    Location.of(settings.stream())));
        });
    }

    // Internals

    private void tick() {
        if (closed) {
            return;
        }
        tailer.wake();
        recorder.tick();
        follower.wake();
    }

    private boolean isTailing() {
        return !closed
                && (!holder.isReady()
                        || isTailer()
                        || sources().isEmpty()
                        || follower.isWithoutSource()
                        || server.isAskedLately()
                        || holder.isAwaited());
    }

    private boolean isTailer() {
        return ranking().isTailer(identity().dataCentre(), identity().vmName());
    }

    private int rank() {
        return ranking().rank(identity().vmName());
    }

    /** A process that reads the log asks the others like it in turn while the log is out. */
    private SourceFollower.Plan plan() {
        if (closed || !holder.isReady()) {
            return SourceFollower.Plan.NONE;
        }
        if (!isTailer()) {
            return new SourceFollower.Plan(sources(), settings.pullWait(), false);
        }
        return tailer.isReachable() && !tailer.hasGap()
                ? SourceFollower.Plan.NONE
                : new SourceFollower.Plan(
                        ranking().allTailersBut(identity().vmName()), Duration.ofMillis(TICK_MILLIS), true);
    }

    /** Takes the newest state of several other processes when the log does not give it. */
    private void fetchState() {
        boolean needed = !holder.isReady() || tailer.hasGap();
        if (!needed || !fetching.compareAndSet(false, true)) {
            return;
        }
        List<Vm> sources = sources();
        int first = fetchedSources.getAndAdd(PEERS_ASKED_FOR_STATE);
        List<CompletableFuture<Boolean>> answers = IntStream.range(0, Math.min(PEERS_ASKED_FOR_STATE, sources.size()))
                .mapToObj(i -> sources.get(Math.floorMod(first + i, sources.size())))
                .map(vm -> puller.pull(vm, Duration.ZERO).handle((done, failure) -> failure == null))
                .toList();
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).whenComplete((done, failure) -> {
            fetching.set(false);
            if (answers.stream().anyMatch(CompletableFuture::join)) {
                holder.markReady();
            }
        });
    }

    private List<Vm> sources() {
        return ranking().sources(identity().dataCentre(), identity().vmName());
    }

    private TailerRanking ranking() {
        List<Vm> vms = parts.membership().vms();
        RankedList known = rankedList;
        if (known == null || !known.vms().equals(vms)) {
            known = new RankedList(vms, new TailerRanking(vms, settings.tailersPerDataCentre()));
            rankedList = known;
        }
        return known.ranking();
    }

    private ProcessIdentity identity() {
        return parts.identity();
    }
}
