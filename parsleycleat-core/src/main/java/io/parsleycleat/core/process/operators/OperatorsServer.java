package io.parsleycleat.core.process.operators;

import io.grpc.Server;
import io.grpc.ServerInterceptors;
import io.grpc.netty.NettyServerBuilder;
import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.core.process.settings.SettingsException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Listens for operators' calls.
 *
 * <p>Created once by an entry, started once and stopped once; its methods are called from the thread that starts and
 * stops the process.
 */
public final class OperatorsServer {
    private static final int MAX_MESSAGE_BYTES = 1024 * 1024;
    private static final int MAX_HEADERS_BYTES = 16 * 1024;
    private static final int MAX_CALLS_PER_CONNECTION = 100;

    private final OperatorsService service;
    private final OperatorAuthentication authentication;
    private @Nullable Server server;

    /** Creates a server that does not listen yet. */
    public OperatorsServer(OperatorsService service, OperatorAuthentication authentication) {
        this.service = service;
        this.authentication = authentication;
    }

    /** Starts to listen and returns the bound address. */
    public InetSocketAddress start(InetSocketAddress address) {
        Server created = NettyServerBuilder.forAddress(address)
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .maxInboundMetadataSize(MAX_HEADERS_BYTES)
                .maxConcurrentCallsPerConnection(MAX_CALLS_PER_CONNECTION)
                .addService(ServerInterceptors.intercept(service, authentication))
                .build();
        try {
            created.start();
        } catch (IOException e) {
            throw new SettingsException(
                    ResultCode.ADDRESS_IN_USE,
                    Location.of("operators"),
                    IpAddresses.format(address),
                    "an address that can be bound");
        }
        server = created;
        return (InetSocketAddress) created.getListenSockets().get(0);
    }

    /** Ends the calls under way, after a time by force. */
    public void stop(Duration grace) throws InterruptedException {
        Server running = server;
        if (running == null) {
            return;
        }
        running.shutdown();
        if (!running.awaitTermination(grace.toMillis(), TimeUnit.MILLISECONDS)) {
            running.shutdownNow();
        }
    }
}
