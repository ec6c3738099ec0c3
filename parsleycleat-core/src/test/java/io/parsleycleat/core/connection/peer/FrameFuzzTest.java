package io.parsleycleat.core.connection.peer;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.routing.Probe;
import io.parsleycleat.wire.routing.RoutingMessage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Sends damaged frames with fixed seeds: the connection closes, and other peers are still served. */
public class FrameFuzzTest {
    private static final int SEEDS = 300;
    private static final int MAX_CHANGES = 6;
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;

    private final EventLoopGroup loops = new NioEventLoopGroup(2);
    private NettyPeerTransport side;
    private NettyPeerTransport entry;
    private InetSocketAddress address;

    @BeforeClass
    public void listen() {
        side = transport("side", ProcessRole.SIDE);
        entry = transport("entry", ProcessRole.ENTRY);
        address = side.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        side.register(
                Frame.BodyCase.ROUTING,
                (from, frame) -> from.reply(frame, Frame.newBuilder().setRouting(frame.getRouting())));
    }

    @AfterClass
    public void close() {
        entry.close();
        side.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    public void damagedFramesHarmNobody() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            send(damaged(new Random(seed)));
        }
        Frame reply = entry.request(IpAddresses.format(address), probe(), Duration.ofSeconds(20))
                .get(20, TimeUnit.SECONDS);
        assertEquals(reply.getRouting().getProbe().getAdapterId(), "a");
    }

    @Test
    public void frameThatClaimsToBeHugeIsNotCollected() throws IOException {
        byte[] part = new byte[64 * 1024];
        try (Socket socket = connect()) {
            OutputStream out = socket.getOutputStream();
            out.write(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x07});
            for (int i = 0; i < 1024; i++) {
                out.write(part);
            }
            assertEquals(readToEnd(socket), true);
        } catch (SocketException e) {
            assertEquals(e.getMessage() == null, false, "the connection was closed while the frame was sent");
        }
    }

    private static byte[] damaged(Random random) throws IOException {
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        probe().setCorrelationId(random.nextInt(1_000)).build().writeDelimitedTo(frame);
        byte[] bytes = frame.toByteArray();
        int changes = 1 + random.nextInt(MAX_CHANGES);
        for (int i = 0; i < changes; i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        return bytes;
    }

    private static Frame.Builder probe() {
        return Frame.newBuilder()
                .setRouting(RoutingMessage.newBuilder()
                        .setProbe(Probe.newBuilder().setAdapterId("a").setVersion("1")));
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    private void send(byte[] bytes) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
            readToEnd(socket);
        }
    }

    /** Returns true once the other end has closed the connection. */
    private static boolean readToEnd(Socket socket) throws IOException {
        try {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (SocketException e) {
            return true;
        }
        return true;
    }

    private NettyPeerTransport transport(String name, ProcessRole role) {
        ProcessIdentity identity = new ProcessIdentity(name, role, "dc-1", "r-1", "127.0.0.1:0", 1);
        return new NettyPeerTransport(identity, loops, () -> 0, (from, frame) -> {});
    }
}
