package io.parsleycleat.gateway.process.members;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.parsleycleat.core.connection.peer.FrameHandler;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.request.outcome.CrashAttribution;
import io.parsleycleat.gateway.ManualTimeSource;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.request.choose.UpstreamLimits;
import io.parsleycleat.gateway.request.crash.CrashDetector;
import io.parsleycleat.gateway.request.limits.BudgetHomes;
import io.parsleycleat.gateway.request.limits.BudgetPeers;
import io.parsleycleat.wire.gate.BudgetGrant;
import io.parsleycleat.wire.gate.BudgetReturn;
import io.parsleycleat.wire.gate.EntryRecord;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against tokens that a home grants after a short silence and that nobody owns: callers of the account were
 * refused for their lack.
 */
public class LateGrantTest {
    private static final String HOME = "home";
    private static final String ACCOUNT = "account";

    private SilentPeer home;
    private EntryMessenger messenger;

    /** The home, which replies when a test says so, and what is sent to it. */
    private static final class SilentPeer implements PeerClient {
        private final CompletableFuture<Frame> reply = new CompletableFuture<>();
        private final List<BudgetReturn> returned = new ArrayList<>();

        @Override
        public CompletableFuture<Frame> request(String peer, Frame.Builder frame, Duration timeout) {
            return reply;
        }

        @Override
        public void send(String peer, Frame.Builder frame) {
            if (frame.getGate().hasUnspent()) {
                returned.add(frame.getGate().getUnspent());
            }
        }

        @Override
        public CompletableFuture<PeerChannel> connect(String peer) {
            return new CompletableFuture<>();
        }

        private void grant(double tokens) {
            BudgetGrant grant = BudgetGrant.newBuilder()
                    .setTokens(tokens)
                    .setTokensPerSecond(10)
                    .build();
            reply.complete(Frame.newBuilder()
                    .setReply(true)
                    .setGate(GateMessage.newBuilder().setDrawn(grant))
                    .build());
        }
    }

    @BeforeMethod
    public void setUp() {
        ManualTimeSource time = new ManualTimeSource();
        home = new SilentPeer();
        EntryMembers members = new EntryMembers("self", time, p -> {});
        members.onPut(
                HOME, EntryRecord.newBuilder().setPeerAddress(HOME).build().toByteArray());
        UpstreamLimits limits = new UpstreamLimits(time, () -> 0);
        BudgetHomes.Slack slack = new BudgetHomes.Slack(0, Duration.ofSeconds(8));
        messenger = new EntryMessenger(
                "self",
                home,
                (Frame.BodyCase kind, FrameHandler handler) -> {},
                members,
                new BudgetHomes("self", slack, time, () -> true),
                null,
                limits,
                new CrashDetector(new CrashAttribution(() -> 0), time, m -> {}),
                new EngineView(time, limits),
                null);
    }

    private CompletableFuture<BudgetPeers.Grant> draw() {
        return messenger.draw(HOME, ACCOUNT, 5, 0);
    }

    @Test(timeOut = 20_000)
    public void tokensGrantedTooLateAreReturnedToTheirHome() throws Exception {
        CompletableFuture<BudgetPeers.Grant> drawn = draw();
        expectThrows(ExecutionException.class, () -> drawn.get(10, TimeUnit.SECONDS));
        home.grant(5);
        assertEquals(home.returned.size(), 1, "returns of tokens");
        assertEquals(home.returned.get(0).getAccount(), ACCOUNT);
        assertEquals(home.returned.get(0).getTokens(), 5.0);
    }

    /** Guards against tokens that are both used here and returned. */
    @Test
    public void tokensGrantedInTimeAreKept() {
        CompletableFuture<BudgetPeers.Grant> drawn = draw();
        home.grant(5);
        assertEquals(drawn.join().tokens(), 5.0);
        assertTrue(home.returned.isEmpty());
    }

    /** Guards against messages without content after each silence. */
    @Test(timeOut = 20_000)
    public void lateReplyWithoutTokensReturnsNone() {
        CompletableFuture<BudgetPeers.Grant> drawn = draw();
        expectThrows(ExecutionException.class, () -> drawn.get(10, TimeUnit.SECONDS));
        home.grant(0);
        assertTrue(home.returned.isEmpty());
    }

    /** Guards against a draw that outlives the connection to its home. */
    @Test
    public void drawFailsWithItsConnection() {
        CompletableFuture<BudgetPeers.Grant> drawn = draw();
        home.reply.completeExceptionally(
                new PeerException(ResultCode.PEER_UNREACHABLE, "the connection was lost", HOME));
        assertTrue(drawn.isCompletedExceptionally());
    }
}
