package io.parsleycleat.core.connection.caller;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;

/** One callers' server on the loopback address for each test of a class. */
abstract class CallerServerFixture {
    /** One loop, so that what happens on one connection, or is scheduled, has an order with what happens on another. */
    final EventLoopGroup loop = new NioEventLoopGroup(1);

    CallerServer server;
    int port;

    void listen(Supplier<CallerLimits> limits, CallerService service) {
        server = new CallerServer(loop, limits, service);
        port = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .getPort();
    }

    @AfterMethod
    public void closeServer() {
        server.close();
    }

    @AfterClass
    public void stopLoops() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
