package io.parsleycleat.core.process.operators;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.core.version.configuration.ConfigurationStore;
import io.parsleycleat.core.version.configuration.keys.KeyFormat;
import io.parsleycleat.core.version.configuration.keys.Keys;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.operators.ApplyRequest;
import io.parsleycleat.wire.operators.ApplyResponse;
import io.parsleycleat.wire.operators.ApplyState;
import io.parsleycleat.wire.operators.ExplainEvent;
import io.parsleycleat.wire.operators.ExplainRequest;
import io.parsleycleat.wire.operators.ExplainResponse;
import io.parsleycleat.wire.operators.FleetRequest;
import io.parsleycleat.wire.operators.FleetResponse;
import io.parsleycleat.wire.operators.IssueKeyRequest;
import io.parsleycleat.wire.operators.IssueKeyResponse;
import io.parsleycleat.wire.operators.ListItemsRequest;
import io.parsleycleat.wire.operators.ListItemsResponse;
import io.parsleycleat.wire.operators.OperatorsGrpc;
import io.parsleycleat.wire.operators.WatchAuditRequest;
import io.parsleycleat.wire.operators.WithdrawKeyRequest;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;

/**
 * Handles the operators' calls. Every change is answered after it was read back from the log; a repeat with the same
 * change id gets the same answer from any entry.
 *
 * <p>Created once by an entry; safe to share between threads.
 */
public final class OperatorsService extends OperatorsGrpc.OperatorsImplBase {
    private final ConfigurationStore store;
    private final FleetReport fleet;
    private final TimeSource time;
    private final ScheduledExecutorService scheduler;
    private final Function<String, List<ExplainEvent>> explainer;

    /**
     * Creates a service.
     *
     * @param explainer returns what is known about a request; nothing for an unknown one
     */
    public OperatorsService(
            ConfigurationStore store,
            Membership membership,
            TimeSource time,
            ScheduledExecutorService scheduler,
            Function<String, List<ExplainEvent>> explainer) {
        this.store = store;
        this.fleet = new FleetReport(store, membership);
        this.time = time;
        this.scheduler = scheduler;
        this.explainer = explainer;
    }

    // Changes

    @Override
    public void apply(ApplyRequest request, StreamObserver<ApplyResponse> out) {
        answer(out, change(request.getChange()));
    }

    @Override
    public void withdrawKey(WithdrawKeyRequest request, StreamObserver<ApplyResponse> out) {
        Change.Builder withdrawal = Change.newBuilder()
                .setChangeId(request.getChangeId())
                .setKind(ItemKind.ITEM_KIND_KEY)
                .setItemId(request.getKeyId())
                .setRemoval(true);
        answer(out, change(withdrawal.build()));
    }

    @Override
    public void issueKey(IssueKeyRequest request, StreamObserver<IssueKeyResponse> out) {
        KeyFormat issued = Keys.derive(OperatorAuthentication.caller(), request.getChangeId());
        Key key = Key.newBuilder()
                .setId(issued.id())
                .setAccountId(request.getAccountId())
                .setOperator(request.getOperator())
                .setSecretHash(Keys.hash(issued))
                .setIssuedAtMillis(time.wallMillis())
                .build();
        Change change = Change.newBuilder()
                .setChangeId(request.getChangeId())
                .setKind(ItemKind.ITEM_KIND_KEY)
                .setItemId(issued.id())
                .setKey(key)
                .build();
        answer(out, change(change).thenApply(result -> IssueKeyResponse.newBuilder()
                .setResult(result)
                .setKeyId(issued.id())
                .setKey(result.getState() == ApplyState.APPLY_STATE_ACCEPTED ? issued.text() : "")
                .build()));
    }

    // Reports

    @Override
    public void listItems(ListItemsRequest request, StreamObserver<ListItemsResponse> out) {
        if (!store.isReady()) {
            out.onError(notReady());
            return;
        }
        ListItemsResponse.Builder list = ListItemsResponse.newBuilder()
                .addAllItems(store.state().items(request.getKind()))
                .setConfigurationVersion(store.version());
        if (request.getKind() == ItemKind.ITEM_KIND_KEY) {
            store.state().keys().stream()
                    .map(Key::getId)
                    .filter(store.current()::isWithdrawn)
                    .forEach(list::addWithdrawnKeyIds);
        }
        answer(out, CompletableFuture.completedFuture(list.build()));
    }

    @Override
    public void getFleet(FleetRequest request, StreamObserver<FleetResponse> out) {
        answer(out, fleet.create(request.getAskMembers()));
    }

    @Override
    public void watchAudit(WatchAuditRequest request, StreamObserver<AuditEntry> out) {
        AuditWatch watch = new AuditWatch(
                store::state, (ServerCallStreamObserver<AuditEntry>) out, scheduler, request.getFromOffset());
        if (request.getFollow()) {
            watch.follow();
        } else {
            watch.sendOnce();
        }
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainResponse> out) {
        List<ExplainEvent> events = explainer.apply(request.getRequestId());
        ExplainResponse answer = ExplainResponse.newBuilder()
                .setFound(!events.isEmpty())
                .addAllEvents(events)
                .build();
        answer(out, CompletableFuture.completedFuture(answer));
    }

    // Internals

    private CompletableFuture<ApplyResponse> change(Change unstamped) {
        Change change = unstamped.toBuilder()
                .setAuthor(OperatorAuthentication.caller().id())
                .setTimeMillis(time.wallMillis())
                .build();
        if (change.getChangeId().isBlank()) {
            return CompletableFuture.failedFuture(Status.INVALID_ARGUMENT
                    .withDescription(ResultCode.CHANGE_INVALID.number() + " CHANGE_INVALID: the change id is missing")
                    .asRuntimeException());
        }
        boolean withdrawal = change.getKind() == ItemKind.ITEM_KIND_KEY && change.hasRemoval();
        CompletableFuture<AuditEntry> asked = withdrawal ? store.withdraw(change) : store.append(change);
        return asked.handle((entry, failure) ->
                failure == null ? ChangeResponses.of(change, entry) : ChangeResponses.of(change, failure));
    }

    private static <T> void answer(StreamObserver<T> out, CompletableFuture<T> future) {
        future.whenComplete((value, failure) -> {
            if (failure != null) {
                out.onError(Status.fromThrowable(failure).asRuntimeException());
            } else {
                out.onNext(value);
                out.onCompleted();
            }
        });
    }

    private static RuntimeException notReady() {
        ResultCode code = ResultCode.NOT_READY;
        return Status.UNAVAILABLE
                .withDescription(code.number() + " " + code.name() + ": " + code.meaning())
                .asRuntimeException();
    }
}
