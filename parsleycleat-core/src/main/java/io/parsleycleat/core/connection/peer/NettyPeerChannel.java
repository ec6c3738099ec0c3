package io.parsleycleat.core.connection.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.parsleycleat.core.process.logging.LogKeys;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.peer.Failure;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * One connection of {@link NettyPeerTransport}.
 *
 * <p>Created for each connection; frames arrive on its event loop, sends may come from any thread.
 */
final class NettyPeerChannel extends SimpleChannelInboundHandler<Frame> implements PeerChannel {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NettyPeerTransport transport;
    private final String address;
    private final AtomicLong correlationIds = new AtomicLong();
    private final Map<Long, CompletableFuture<Frame>> requests = new ConcurrentHashMap<>();
    private final CompletableFuture<Hello> greeting = new CompletableFuture<>();
    private final Object closeLock = new Object();
    private final List<Runnable> closeActions = new ArrayList<>();
    private boolean closed;
    private volatile @Nullable ChannelHandlerContext context;

    NettyPeerChannel(NettyPeerTransport transport, String address) {
        this.transport = transport;
        this.address = address;
    }

    // Channel of the peer

    @Override
    public Hello hello() {
        return greeting.getNow(Hello.getDefaultInstance());
    }

    @Override
    public void send(Frame frame) {
        ChannelHandlerContext current = context;
        if (current != null) {
            current.channel()
                    .writeAndFlush(frame.toBuilder()
                            .setConfigurationVersion(transport.configurationVersion())
                            .build());
        }
    }

    @Override
    public boolean isWritable() {
        ChannelHandlerContext current = context;
        return current != null && current.channel().isWritable();
    }

    @Override
    public void onClose(Runnable action) {
        synchronized (closeLock) {
            if (!closed) {
                closeActions.add(action);
                return;
            }
        }
        action.run();
    }

    // Requests

    CompletableFuture<Frame> request(Frame.Builder frame, Duration timeout) {
        long id = correlationIds.incrementAndGet();
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        requests.put(id, reply);
        send(frame.setCorrelationId(id).build());
        boolean isClosed;
        synchronized (closeLock) {
            isClosed = closed;
        }
        if (isClosed) {
            reply.completeExceptionally(lost());
        }
        ChannelHandlerContext current = context;
        if (current != null) {
            var timer = current.executor()
                    .schedule(
                            () -> reply.completeExceptionally(
                                    new PeerException(ResultCode.PEER_TIMEOUT, "no reply within " + timeout, address)),
                            timeout.toMillis(),
                            TimeUnit.MILLISECONDS);
            reply.whenComplete((r, failure) -> timer.cancel(false));
        }
        return reply.whenComplete((r, failure) -> requests.remove(id));
    }

    void completeRequest(Frame frame) {
        CompletableFuture<Frame> reply = requests.remove(frame.getCorrelationId());
        if (reply == null) {
            return;
        }
        if (frame.hasFailure()) {
            Failure failure = frame.getFailure();
            ResultCode code = ResultCode.ofNumber(failure.getCode()).orElse(ResultCode.FAILURE_UNEXPECTED);
            reply.completeExceptionally(new PeerException(code, failure.getDetail(), address));
        } else {
            reply.complete(frame);
        }
    }

    CompletableFuture<Hello> awaitHello(Duration timeout) {
        return greeting.copy().orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    void close() {
        ChannelHandlerContext current = context;
        if (current != null) {
            current.close();
        }
    }

    // Events of the connection

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        send(Frame.newBuilder().setHello(transport.hello()).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext active, Frame frame) {
        if (frame.hasHello()) {
            greeting.complete(frame.getHello());
            return;
        }
        transport.dispatch(this, frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext active) {
        List<Runnable> actions;
        synchronized (closeLock) {
            closed = true;
            actions = List.copyOf(closeActions);
            closeActions.clear();
        }
        greeting.completeExceptionally(lost());
        List.copyOf(requests.values()).forEach(r -> r.completeExceptionally(lost()));
        actions.forEach(Runnable::run);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext active, Object event) {
        if (!(event instanceof IdleStateEvent idle)) {
            active.fireUserEventTriggered(event);
        } else if (idle.state() == IdleState.READER_IDLE) {
            logger.atInfo().with(LogKeys.PEER, address).log("connection closed: nothing arrives on it");
            active.close();
        } else {
            send(Frame.newBuilder().setHello(transport.hello()).build());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext active, Throwable cause) {
        logger.atWarning()
                .with(LogKeys.PEER, address)
                .with(LogKeys.CODE, ResultCode.FRAME_MALFORMED.number())
                .log("connection closed: %s", cause);
        active.close();
    }

    private PeerException lost() {
        return new PeerException(ResultCode.PEER_UNREACHABLE, "the connection was lost", address);
    }
}
