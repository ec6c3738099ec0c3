package io.parsleycleat.gateway.request;

import io.parsleycleat.core.connection.peer.FrameHandler;
import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.result.PeerException;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** Connects processes of one test; a frame is handled before the call that sends it returns. */
final class InMemoryPeers {
    private final Map<String, Node> nodes = new ConcurrentHashMap<>();

    /** Returns the process with a peer address. */
    Node node(String address) {
        return nodes.computeIfAbsent(address, Node::new);
    }

    /** One process: what it registers, and the connections that it opens. */
    final class Node implements PeerClient, FrameRouter {
        private final String address;
        private final Map<Frame.BodyCase, FrameHandler> handlers = new ConcurrentHashMap<>();
        private final Map<String, Channel> channels = new ConcurrentHashMap<>();
        private final Map<Long, CompletableFuture<Frame>> pending = new ConcurrentHashMap<>();
        private final AtomicLong lastCorrelationId = new AtomicLong();

        Node(String address) {
            this.address = address;
        }

        @Override
        public void register(Frame.BodyCase kind, FrameHandler handler) {
            handlers.put(kind, handler);
        }

        @Override
        public CompletableFuture<Frame> request(String peer, Frame.Builder frame, Duration timeout) {
            Node to = nodes.get(peer);
            if (to == null) {
                return CompletableFuture.failedFuture(
                        new PeerException(ResultCode.PEER_UNREACHABLE, "there is no such process", peer));
            }
            long id = lastCorrelationId.incrementAndGet();
            CompletableFuture<Frame> reply = new CompletableFuture<>();
            pending.put(id, reply);
            Channel channel = channelTo(peer);
            channel.onClose(() -> reply.completeExceptionally(
                    new PeerException(ResultCode.PEER_UNREACHABLE, "the connection was lost", peer)));
            to.receive(channel, frame.setCorrelationId(id).build());
            return reply;
        }

        @Override
        public void send(String peer, Frame.Builder frame) {
            Node to = nodes.get(peer);
            if (to != null) {
                to.receive(channelTo(peer), frame.build());
            }
        }

        @Override
        public CompletableFuture<PeerChannel> connect(String peer) {
            return CompletableFuture.completedFuture(channelTo(peer));
        }

        /** Loses the connection to a process; the next frame opens another one. */
        void disconnect(String peer) {
            Channel lost = channels.remove(peer);
            if (lost != null) {
                lost.close();
            }
        }

        private Channel channelTo(String peer) {
            return channels.computeIfAbsent(peer, p -> new Channel(this));
        }

        private void receive(PeerChannel from, Frame frame) {
            FrameHandler handler = handlers.get(frame.getBodyCase());
            if (handler != null) {
                handler.handle(from, frame);
            }
        }
    }

    /** A connection as its accepting side sees it. */
    private static final class Channel implements PeerChannel {
        private final Node opener;
        private final List<Runnable> closeActions = new CopyOnWriteArrayList<>();

        Channel(Node opener) {
            this.opener = opener;
        }

        void close() {
            closeActions.forEach(Runnable::run);
        }

        @Override
        public Hello hello() {
            return Hello.newBuilder().setVmName(opener.address).build();
        }

        @Override
        public void send(Frame frame) {
            if (frame.getReply()) {
                CompletableFuture<Frame> waiting = opener.pending.remove(frame.getCorrelationId());
                if (waiting != null) {
                    waiting.complete(frame);
                }
            } else {
                opener.receive(this, frame);
            }
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
