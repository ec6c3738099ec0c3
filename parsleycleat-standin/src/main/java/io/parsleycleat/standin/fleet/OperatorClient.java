package io.parsleycleat.standin.fleet;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import io.parsleycleat.core.process.settings.IpAddresses;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.operators.ApplyRequest;
import io.parsleycleat.wire.operators.ApplyResponse;
import io.parsleycleat.wire.operators.ApplyState;
import io.parsleycleat.wire.operators.IssueKeyRequest;
import io.parsleycleat.wire.operators.IssueKeyResponse;
import io.parsleycleat.wire.operators.OperatorsGrpc;
import io.parsleycleat.wire.operators.WithdrawKeyRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Makes changes through the operators' interface of an entry.
 *
 * <p>Created by {@link Fleet}; safe to share between threads.
 */
public final class OperatorClient implements AutoCloseable {
    private static final Metadata.Key<String> AUTHORIZATION =
            Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER);
    private static final int CONCURRENT_CHANGES = 128;
    private static final int MAX_ATTEMPTS = 20;
    private static final long TIMEOUT_SECONDS = 30;

    private final ManagedChannel channel;
    private final OperatorsGrpc.OperatorsFutureStub stub;

    OperatorClient(String address, OperatorKey key) {
        channel = NettyChannelBuilder.forAddress(IpAddresses.parse(address)
                        .orElseThrow(() -> new FleetException("no address of operators: " + address)))
                .usePlaintext()
                .build();
        Metadata headers = new Metadata();
        headers.put(AUTHORIZATION, "Bearer " + key.text());
        stub = OperatorsGrpc.newFutureStub(channel)
                .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers));
    }

    /** Returns the interface itself. */
    public OperatorsGrpc.OperatorsFutureStub stub() {
        return stub.withDeadlineAfter(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Applies changes, many at once, and fails unless each is accepted. */
    public void applyAll(List<Change> changes) {
        Semaphore places = new Semaphore(CONCURRENT_CHANGES);
        List<CompletableFuture<Void>> pending = changes.stream()
                .map(change -> {
                    places.acquireUninterruptibly();
                    return apply(change, MAX_ATTEMPTS).whenComplete((done, failure) -> places.release());
                })
                .toList();
        pending.forEach(CompletableFuture::join);
    }

    /** Applies one change and fails unless it is accepted. */
    public void apply(Change change) {
        apply(change, MAX_ATTEMPTS).join();
    }

    /** Issues a key for an account and returns the text that callers present. */
    public String issueKey(String accountId) {
        IssueKeyRequest request = IssueKeyRequest.newBuilder()
                .setChangeId(UUID.randomUUID().toString())
                .setAccountId(accountId)
                .build();
        IssueKeyResponse response = complete(stub().issueKey(request)).join();
        if (response.getKey().isEmpty()) {
            throw new FleetException("no key for " + accountId + ": " + response.getResult());
        }
        return response.getKey();
    }

    /** Withdraws a key. */
    public ApplyResponse withdrawKey(String keyId) {
        WithdrawKeyRequest request = WithdrawKeyRequest.newBuilder()
                .setChangeId(UUID.randomUUID().toString())
                .setKeyId(keyId)
                .build();
        return complete(stub().withdrawKey(request)).join();
    }

    /** Returns the beginning of a change that creates an item. Its id is a function of the item. */
    public static Change.Builder creation(ItemKind kind, String id) {
        byte[] name = (kind + " " + id).getBytes(StandardCharsets.UTF_8);
        return Change.newBuilder()
                .setChangeId(UUID.nameUUIDFromBytes(name).toString())
                .setKind(kind)
                .setItemId(id);
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }

    /** Repeats a change whose result is unknown with the same id, which is safe. */
    private CompletableFuture<Void> apply(Change change, int attempts) {
        ApplyRequest request = ApplyRequest.newBuilder().setChange(change).build();
        return complete(stub().apply(request))
                .handle((response, failure) -> Optional.ofNullable(response)
                        .map(ApplyResponse::getState)
                        .filter(s -> failure == null)
                        .orElse(ApplyState.APPLY_STATE_UNKNOWN))
                .thenCompose(state -> switch (state) {
                    case APPLY_STATE_ACCEPTED -> CompletableFuture.<Void>completedFuture(null);
                    case APPLY_STATE_UNKNOWN -> attempts > 1
                            ? apply(change, attempts - 1)
                            : failed(change, "no answer");
                    default -> failed(change, state.name());
                });
    }

    private static CompletableFuture<Void> failed(Change change, String detail) {
        return CompletableFuture.failedFuture(
                new FleetException("change of " + change.getKind() + " " + change.getItemId() + ": " + detail));
    }

    private static <T> CompletableFuture<T> complete(ListenableFuture<T> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Futures.addCallback(
                call,
                new FutureCallback<T>() {
                    @Override
                    public void onSuccess(T value) {
                        result.complete(value);
                    }

                    @Override
                    public void onFailure(Throwable t) {
                        result.completeExceptionally(t);
                    }
                },
                MoreExecutors.directExecutor());
        return result;
    }
}
