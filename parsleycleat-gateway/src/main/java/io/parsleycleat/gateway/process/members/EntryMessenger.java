package io.parsleycleat.gateway.process.members;

import com.google.common.flogger.FluentLogger;
import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.Failures;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.request.choose.UpstreamLimits;
import io.parsleycleat.gateway.request.crash.CrashDetector;
import io.parsleycleat.gateway.request.limits.BudgetHomes;
import io.parsleycleat.gateway.request.limits.BudgetPeers;
import io.parsleycleat.gateway.request.limits.RequestLimit;
import io.parsleycleat.gateway.request.permits.PermitHomes;
import io.parsleycleat.gateway.request.permits.PermitPeers;
import io.parsleycleat.gateway.request.permits.PermitQuery;
import io.parsleycleat.gateway.request.permits.PermitReply;
import io.parsleycleat.gateway.version.upstreams.UpstreamStart;
import io.parsleycleat.wire.gate.BudgetDraw;
import io.parsleycleat.wire.gate.BudgetGrant;
import io.parsleycleat.wire.gate.BudgetReturn;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.LimitNotice;
import io.parsleycleat.wire.gate.LimitReport;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Sends notices of crashes, budget requests and permit requests to other entries, and handles the messages that entries
 * and sides send to this one. The home of an account is the entry that owns the account's budget; the home of an
 * upstream is the entry that grants permits for it.
 *
 * <p>One per entry; safe to share between threads.
 */
public final class EntryMessenger implements BudgetPeers, PermitPeers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** A home answers from memory, but may be busy right after its start; one that takes longer is skipped. */
    private static final Duration DRAW_TIMEOUT = Duration.ofMillis(400);

    /** Time within which the tokens of a home that was silent for a while can still be returned to it. */
    private static final Duration LATE_GRANT_TIMEOUT = Duration.ofSeconds(5);

    private final PeerClient peers;
    private final EntryMembers members;
    private final BudgetHomes homes;
    private final PermitHomes permitHomes;
    private final UpstreamLimits limits;
    private final String self;
    private final CrashDetector crashWatch;
    private final EngineView engineView;
    private final LogRelay relay;

    /** Creates a messenger and registers it as the handler of gate frames. */
    public EntryMessenger(
            String self,
            PeerClient peers,
            FrameRouter frames,
            EntryMembers members,
            BudgetHomes homes,
            PermitHomes permitHomes,
            UpstreamLimits limits,
            CrashDetector crashWatch,
            EngineView engineView,
            LogRelay relay) {
        this.peers = peers;
        this.members = members;
        this.homes = homes;
        this.permitHomes = permitHomes;
        this.limits = limits;
        this.self = self;
        this.crashWatch = crashWatch;
        this.engineView = engineView;
        this.relay = relay;
        frames.register(Frame.BodyCase.GATE, this::onFrame);
    }

    @Override
    public CompletableFuture<Grant> draw(String entry, String account, double needed, double ahead) {
        Optional<String> address = members.addressOf(entry);
        if (address.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new PeerException(ResultCode.PEER_UNREACHABLE, "the record of the entry has expired", entry));
        }
        BudgetDraw.Builder draw =
                BudgetDraw.newBuilder().setAccount(account).setNeeded(needed).setAhead(ahead);
        CompletableFuture<Grant> drawn =
                new CompletableFuture<Grant>().orTimeout(DRAW_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        peers.request(address.get(), gateFrame(GateMessage.newBuilder().setDraw(draw)), LATE_GRANT_TIMEOUT)
                .thenApply(EntryMessenger::decodeGrant)
                .whenComplete((grant, failure) -> {
                    if (failure != null) {
                        drawn.completeExceptionally(Failures.unwrap(failure));
                    } else if (!drawn.complete(grant)) {
                        returnLateGrant(entry, account, grant);
                    }
                });
        return drawn;
    }

    private static Grant decodeGrant(Frame answer) {
        BudgetGrant grant = answer.getGate().getDrawn();
        return new Grant(grant.getTokens(), grant.getTokensPerSecond());
    }

    /** Returns tokens that a home granted after the draw had failed, since nobody here waits for them any more. */
    private void returnLateGrant(String home, String account, Grant grant) {
        if (grant.tokens() > 0) {
            logger.atInfo()
                    .with(LogKeys.PEER, home)
                    .log("%.0f tokens of account %s granted too late are returned", grant.tokens(), account);
            returnTokens(home, account, grant.tokens());
        }
    }

    @Override
    public void returnTokens(String entry, String account, double tokens) {
        members.addressOf(entry).ifPresent(address -> {
            BudgetReturn.Builder unspent =
                    BudgetReturn.newBuilder().setAccount(account).setTokens(tokens);
            peers.send(address, gateFrame(GateMessage.newBuilder().setUnspent(unspent)));
        });
    }

    // Permits

    @Override
    public CompletableFuture<PermitReply> requestPermit(String entry, PermitQuery query) {
        if (entry.equals(self)) {
            CompletableFuture<PermitReply> reply = new CompletableFuture<>();
            permitHomes.request(query, reply::complete);
            return reply;
        }
        Optional<String> address = members.addressOf(entry);
        if (address.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new PeerException(ResultCode.PEER_UNREACHABLE, "the record of the entry has expired", entry));
        }
        Duration timeout = query.maxWait().plus(DRAW_TIMEOUT);
        return peers.request(
                        address.get(),
                        gateFrame(GateMessage.newBuilder().setPermit(PermitMessages.encode(query))),
                        timeout)
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(answer -> PermitMessages.decode(answer.getGate().getPermitted()));
    }

    @Override
    public void reportLimit(String entry, UpstreamStart upstream, long permit, @Nullable RequestLimit named) {
        if (entry.equals(self)) {
            onLimitReport(upstream, permit, named);
        } else {
            LimitReport report = PermitMessages.encodeReport(upstream, permit, named);
            members.addressOf(entry)
                    .ifPresent(address -> peers.send(
                            address, gateFrame(GateMessage.newBuilder().setLimitReport(report))));
        }
    }

    private void onLimitReport(UpstreamStart upstream, long permit, @Nullable RequestLimit named) {
        if (permitHomes.onReport(upstream, permit, named) && named != null) {
            sendNotice(PermitMessages.encodeNotice(upstream, named, permitHomes.nextNoticeNumber(upstream)));
        }
    }

    /** Applies a notice about a limit, and passes on one that is new. */
    private void onLimitNotice(LimitNotice notice) {
        UpstreamStart upstream = PermitMessages.decode(notice.getUpstream());
        if (permitHomes.isNewNotice(upstream, notice.getNumber())) {
            limits.onNamed(upstream, RequestLimit.of(notice.getLimit()));
            sendNotice(notice);
        }
    }

    private void sendNotice(LimitNotice notice) {
        permitHomes.noticeReceivers(PermitMessages.decode(notice.getUpstream())).stream()
                .map(members::addressOf)
                .flatMap(Optional::stream)
                .forEach(address ->
                        peers.send(address, gateFrame(GateMessage.newBuilder().setLimitNotice(notice))));
    }

    /** Sends a message to all other entries. */
    public void broadcast(GateMessage message) {
        members.peerAddresses().values().forEach(address -> peers.send(address, gateFrame(message.toBuilder())));
    }

    private void onFrame(PeerChannel from, Frame frame) {
        GateMessage message = frame.getGate();
        switch (message.getMessageCase()) {
            case STATUS -> engineView.onStatus(message.getStatus());
            case CRASH -> crashWatch.onCrashNotice(message.getCrash());
            case PARTS -> crashWatch.onPartNotice(message.getParts());
            case DRAW -> from.reply(frame, gateFrame(GateMessage.newBuilder().setDrawn(grantDraw(message.getDraw()))));
            case PERMIT -> permitHomes.request(
                    PermitMessages.decode(message.getPermit()),
                    reply -> from.reply(
                            frame, gateFrame(GateMessage.newBuilder().setPermitted(PermitMessages.encode(reply)))));
            case LIMIT_REPORT -> onLimitReport(
                    PermitMessages.decode(message.getLimitReport().getUpstream()),
                    message.getLimitReport().getPermit(),
                    PermitMessages.namedLimit(message.getLimitReport()));
            case LIMIT_NOTICE -> onLimitNotice(message.getLimitNotice());
            case READ -> relay.onReadRequest(from, frame);
            case UNSPENT -> homes.returnTokens(
                    message.getUnspent().getAccount(), message.getUnspent().getTokens());
            default -> {
                // The transport matches the replies of sides with their requests.
            }
        }
    }

    private BudgetGrant grantDraw(BudgetDraw draw) {
        Grant drawn = homes.draw(draw.getAccount(), draw.getNeeded(), draw.getAhead());
        return BudgetGrant.newBuilder()
                .setTokens(drawn.tokens())
                .setTokensPerSecond(drawn.tokensPerSecond())
                .build();
    }

    private static Frame.Builder gateFrame(GateMessage.Builder message) {
        return Frame.newBuilder().setGate(message);
    }
}
