package io.parsleycleat.gateway.connection.upstream;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A channel that tells what has arrived on an idle connection before the event loop reads it.
 *
 * <p>Created by {@link UpstreamConnectionPool}; used on its event loop only.
 */
final class UpstreamChannel extends NioSocketChannel {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /**
     * Returns whether bytes, the upstream's close or a reset wait unread. Takes a byte off the connection, which must
     * not be used after that.
     */
    boolean probeInput() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException e) {
            logger.atFine().withCause(e).log("an idle connection is lost");
            return true;
        }
    }
}
