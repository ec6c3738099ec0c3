package io.parsleycleat.core.connection.peer;

import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;
import io.parsleycleat.wire.run.RunMessage;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/** Sides that a test scripts: each run that starts is answered by the function registered for its address. */
public final class FakeSides implements PeerClient, FrameRouter {
    private final Map<Frame.BodyCase, FrameHandler> handlers = new HashMap<>();
    private final Map<String, BiConsumer<RunMessage, Channel>> sides = new HashMap<>();
    private final List<RunMessage> sent = new ArrayList<>();
    private @Nullable CompletableFuture<PeerChannel> delayed;

    /** Adds a side. */
    public void add(String address, BiConsumer<RunMessage, Channel> script) {
        sides.put(address, script);
    }

    /** Lets every later connection wait for this one. */
    public void delay(CompletableFuture<PeerChannel> connection) {
        delayed = connection;
    }

    /** Returns every message that was sent, in order. */
    public List<RunMessage> sent() {
        return sent;
    }

    @Override
    public void register(Frame.BodyCase kind, FrameHandler handler) {
        handlers.put(kind, handler);
    }

    @Override
    public CompletableFuture<Frame> request(String peerAddress, Frame.Builder frame, Duration timeout) {
        return CompletableFuture.failedFuture(new PeerException(ResultCode.PEER_TIMEOUT, "no reply", peerAddress));
    }

    @Override
    public void send(String peerAddress, Frame.Builder frame) {
        sent.add(frame.getRun());
    }

    @Override
    public CompletableFuture<PeerChannel> connect(String peerAddress) {
        if (delayed != null) {
            return delayed;
        }
        BiConsumer<RunMessage, Channel> script = sides.get(peerAddress);
        return script == null
                ? CompletableFuture.failedFuture(
                        new PeerException(ResultCode.PEER_UNREACHABLE, "no such side", peerAddress))
                : CompletableFuture.completedFuture(new Channel(script));
    }

    /** A connection to a scripted side. */
    public final class Channel implements PeerChannel {
        private final BiConsumer<RunMessage, Channel> script;
        private final List<Runnable> closeActions = new ArrayList<>();

        Channel(BiConsumer<RunMessage, Channel> script) {
            this.script = script;
        }

        /** Sends an answer to the entry. */
        public void answer(RunMessage message) {
            handlers.get(Frame.BodyCase.RUN)
                    .handle(this, Frame.newBuilder().setRun(message).build());
        }

        /** Loses the connection. */
        public void lose() {
            List.copyOf(closeActions).forEach(Runnable::run);
        }

        @Override
        public Hello hello() {
            return Hello.getDefaultInstance();
        }

        @Override
        public void send(Frame frame) {
            sent.add(frame.getRun());
            script.accept(frame.getRun(), this);
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void onClose(Runnable action) {
            closeActions.add(action);
        }
    }
}
