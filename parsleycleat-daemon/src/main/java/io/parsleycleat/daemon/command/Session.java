package io.parsleycleat.daemon.command;

import io.grpc.CallCredentials;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.parsleycleat.core.process.operators.OperatorAuthentication;
import io.parsleycleat.core.version.configuration.keys.KeyFormat;
import io.parsleycleat.wire.operators.OperatorsGrpc;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * One command's connection to an entry.
 *
 * <p>Created by the command and closed at its end; used by one thread.
 */
final class Session implements AutoCloseable {
    private static final int MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

    private final ManagedChannel channel;
    private final OperatorsGrpc.OperatorsBlockingStub stub;
    private final Duration timeout;

    Session(InetSocketAddress server, KeyFormat key, Duration timeout) {
        channel = NettyChannelBuilder.forAddress(server)
                .usePlaintext()
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .build();
        stub = OperatorsGrpc.newBlockingStub(channel).withCallCredentials(new BearerCredentials(key));
        this.timeout = timeout;
    }

    /** Calls for a report. */
    <T> T read(Function<OperatorsGrpc.OperatorsBlockingStub, T> call) {
        try {
            return call.apply(limited());
        } catch (StatusRuntimeException e) {
            throw failure(e, ExitCode.UNREACHABLE, "");
        }
    }

    /** Calls without a time limit, for streams that last until the operator ends them. */
    <T> T watch(Function<OperatorsGrpc.OperatorsBlockingStub, T> call) {
        try {
            return call.apply(stub);
        } catch (StatusRuntimeException e) {
            throw failure(e, ExitCode.UNREACHABLE, "");
        }
    }

    /** Calls for a change. What became of it is unknown when the answer is lost. */
    <T> T change(String changeId, Function<OperatorsGrpc.OperatorsBlockingStub, T> call) {
        try {
            return call.apply(limited());
        } catch (StatusRuntimeException e) {
            throw failure(e, ExitCode.UNKNOWN, "; ask again with --change-id " + changeId);
        }
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }

    private OperatorsGrpc.OperatorsBlockingStub limited() {
        return stub.withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static CommandException failure(StatusRuntimeException e, ExitCode whenLost, String advice) {
        Status status = e.getStatus();
        String detail = status.getDescription() == null ? status.getCode().name() : status.getDescription();
        return switch (status.getCode()) {
            case UNAUTHENTICATED, INVALID_ARGUMENT, PERMISSION_DENIED -> new CommandException(ExitCode.REFUSED, detail);
            case UNAVAILABLE -> isNeverConnected(status)
                    ? new CommandException(ExitCode.UNREACHABLE, "the server cannot be reached: " + detail)
                    : new CommandException(whenLost, detail + advice);
            default -> new CommandException(whenLost, detail + advice);
        };
    }

    private static boolean isNeverConnected(Status status) {
        return status.getCause() instanceof ConnectException;
    }

    /** Adds the operator's key to each call. Created for a session; immutable. */
    private static final class BearerCredentials extends CallCredentials {
        private final KeyFormat key;

        BearerCredentials(KeyFormat key) {
            this.key = key;
        }

        @Override
        public void applyRequestMetadata(RequestInfo request, Executor executor, MetadataApplier applier) {
            Metadata headers = new Metadata();
            headers.put(OperatorAuthentication.AUTHORIZATION, "Bearer " + key.text());
            applier.apply(headers);
        }
    }
}
