package io.parsleycleat.core.process.limits;

import com.codahale.metrics.MetricRegistry;
import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.WeightStoreLimits;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.membership.Epoch;
import io.parsleycleat.core.process.membership.EpochKeeper;
import io.parsleycleat.core.process.membership.EpochSettings;
import io.parsleycleat.core.process.membership.EpochSource;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.Refusal;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.version.configuration.ConfigurationSource;
import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.peer.Frame;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Holds client accounts to their rate and burst with an escrow: up to four entries hold equal parts of each budget.
 *
 * <p>Created once by each entry; safe to share between threads.
 */
public final class EscrowLimiter implements TokenLimiter {
    /** Equal parts of each budget, and so the largest number of entries that hold one. */
    public static final int PARTS = Parts.COUNT;

    private static final Duration RETRY_UNAVAILABLE = Duration.ofSeconds(1);

    private final String vmName;
    private final EscrowSettings settings;
    private final EpochKeeper keeper;
    private final HomeAccounts homes;
    private final DebitRouter router;
    private final EscrowMetrics metrics;

    private EscrowLimiter(Builder builder) {
        ProcessIdentity identity = require(builder.identity, "identity");
        TimeSource time = require(builder.time, "time");
        vmName = identity.vmName();
        settings = builder.settings;
        EscrowPeers peers = new EscrowPeers(require(builder.peers, "peers"), identity, time, settings);
        keeper = new EpochKeeper(
                identity,
                require(builder.membership, "membership"),
                require(builder.log, "log"),
                peers,
                time,
                builder.epochSettings);
        peers.listen(keeper::heardFrom);
        homes = new HomeAccounts(
                identity.vmName(), time, require(builder.configuration, "configuration"), keeper, peers, settings);
        metrics = new EscrowMetrics(builder.metrics, homes, keeper, peers);
        router = new DebitRouter(identity, () -> CompletableFuture.completedFuture(keeper.epoch()), homes, peers, true);
        require(builder.frames, "frames")
                .register(Frame.BodyCase.ESCROW, new EscrowFrameHandler(keeper, homes)::handle);
        if (builder.weightStore != null) {
            homes.addFixed(WeightStoreBudget.accounts(builder.weightStore));
        }
        keeper.onEpoch(homes::adopt);
        require(builder.configuration, "configuration").onChange(homes::configure);
    }

    /** Returns a builder without any part set. */
    public static Builder builder() {
        return new Builder();
    }

    // Public operations

    /** Starts to keep the epoch and to ask for awaited parts. */
    public void start(ScheduledExecutorService scheduler) {
        keeper.start(scheduler);
        long interval = settings.tickInterval().toMillis();
        scheduler.scheduleWithFixedDelay(homes::tick, 0, interval, TimeUnit.MILLISECONDS);
    }

    /** Does what {@link #start} does at every interval, once. */
    public void tick() {
        keeper.tick();
        homes.tick();
    }

    @Override
    public CompletableFuture<Either<Refusal, Reservation>> reserve(Account account, double tokens) {
        if (tokens > account.getBurstTokens()) {
            metrics.refused(ResultCode.REQUEST_ABOVE_BURST);
            String detail = tokens + " tokens are needed, the burst is " + account.getBurstTokens();
            return CompletableFuture.completedFuture(Either.left(Refusal.of(ResultCode.REQUEST_ABOVE_BURST, detail)));
        }
        return router.debit(account.getId(), tokens, 0).thenApply(this::answer);
    }

    /** Returns the epochs that this entry follows. */
    public EpochSource epochs() {
        return keeper;
    }

    /** Returns how many parts of an account's budget this entry may spend at present. */
    public int heldParts(String accountId) {
        return keeper.isStanding() ? homes.heldParts(accountId) : 0;
    }

    /** Returns whether budgets can be used: an epoch is known, and this entry is confirmed in it or no member of it. */
    public boolean isUsable() {
        Epoch epoch = keeper.epoch();
        return epoch.number() > 0
                && (keeper.isStanding() || epoch.member(vmName).isEmpty());
    }

    /** Returns whether all parts were passed on, so that the process may stop without loss. */
    public boolean isDrained() {
        return homes.isDrained();
    }

    // Internals

    private Either<Refusal, Reservation> answer(RoutedDebit debit) {
        DebitDecision decision = debit.decision();
        return switch (decision.kind()) {
            case GRANTED -> {
                metrics.granted(debit.tokens());
                yield Either.right(new HomeReservation(debit));
            }
            case REFUSED -> refuse(ResultCode.RATE_EXCEEDED, decision.retryAfter());
            case NOT_HOME -> refuse(ResultCode.LIMIT_UNAVAILABLE, RETRY_UNAVAILABLE);
        };
    }

    private Either<Refusal, Reservation> refuse(ResultCode code, Duration retryAfter) {
        metrics.refused(code);
        return Either.left(Refusal.of(code).withRetryAfter(retryAfter));
    }

    private static <T> T require(@Nullable T part, String name) {
        return Objects.requireNonNull(part, name);
    }

    /** Collects the parts of a limiter. Used by one thread. */
    public static final class Builder {
        private @Nullable ProcessIdentity identity;
        private @Nullable PeerClient peers;
        private @Nullable FrameRouter frames;
        private @Nullable ConfigurationSource configuration;
        private @Nullable Membership membership;
        private @Nullable LogClient log;
        private TimeSource time = TimeSource.SYSTEM;
        private EscrowSettings settings = EscrowSettings.DEFAULT;
        private EpochSettings epochSettings = EpochSettings.DEFAULT;
        private MetricRegistry metrics = new MetricRegistry();
        private @Nullable ScheduledExecutorService scheduler;
        private @Nullable WeightStoreLimits weightStore;

        private Builder() {}

        /** Sets who this entry is. */
        public Builder identity(ProcessIdentity newIdentity) {
            identity = newIdentity;
            return this;
        }

        /** Sets how to reach other entries. */
        public Builder peers(PeerClient newPeers) {
            peers = newPeers;
            return this;
        }

        /** Sets where frames of the escrow are registered for. */
        public Builder frames(FrameRouter newFrames) {
            frames = newFrames;
            return this;
        }

        /** Sets where the accounts stand. */
        public Builder configuration(ConfigurationSource newConfiguration) {
            configuration = newConfiguration;
            return this;
        }

        /** Sets the VM list. */
        public Builder membership(Membership newMembership) {
            membership = newMembership;
            return this;
        }

        /** Sets the platform's log. */
        public Builder log(LogClient newLog) {
            log = newLog;
            return this;
        }

        /** Sets the clock. */
        public Builder time(TimeSource newTime) {
            time = newTime;
            return this;
        }

        /** Sets the times of the escrow. */
        public Builder settings(EscrowSettings newSettings) {
            settings = newSettings;
            return this;
        }

        /** Sets the times of epochs. */
        public Builder epochSettings(EpochSettings newSettings) {
            epochSettings = newSettings;
            return this;
        }

        /** Sets where metrics are registered. */
        public Builder metrics(MetricRegistry newMetrics) {
            metrics = newMetrics;
            return this;
        }

        /** Sets the scheduler on which the limiter starts when it is built; without one, its owner calls tick. */
        public Builder scheduler(ScheduledExecutorService newScheduler) {
            scheduler = newScheduler;
            return this;
        }

        /** Sets the weight store's limits, which are shared out like a budget; without them there are no permits. */
        public Builder weightStore(WeightStoreLimits newLimits) {
            weightStore = newLimits;
            return this;
        }

        /** Creates the limiter and registers it for the frames of the escrow. */
        public EscrowLimiter build() {
            EscrowLimiter limiter = new EscrowLimiter(this);
            if (scheduler != null) {
                limiter.start(scheduler);
            }
            return limiter;
        }
    }
}
