package io.parsleycleat.daemon.command;

import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.VersionedItem;
import io.parsleycleat.wire.operators.ApplyRequest;
import io.parsleycleat.wire.operators.ApplyResponse;
import io.parsleycleat.wire.operators.ApplyState;
import io.parsleycleat.wire.operators.ListItemsRequest;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * A command that changes one item.
 *
 * <p>Created for each run of the command line; used by one thread.
 */
abstract class ChangeCommand extends Command {
    private static final long NOT_GIVEN = -1;

    @Argument(metaVar = "ID", required = true, usage = "id of the item")
    private String id = "";

    @Option(
            name = "--expected-version",
            metaVar = "N",
            usage = "version that the change was made from; 0 for a new item, otherwise the current one")
    private long expectedVersion = NOT_GIVEN;

    /** Returns the kind of item that the command changes. */
    abstract ItemKind kind();

    /** Puts the new content into the change. */
    abstract void fill(Change.Builder change, Optional<VersionedItem> current);

    final String id() {
        return id;
    }

    @Override
    final Table run() {
        try (Session session = open()) {
            Optional<VersionedItem> current = current(session);
            long version = expectedVersion == NOT_GIVEN
                    ? current.map(VersionedItem::getVersion).orElse(0L)
                    : expectedVersion;
            Change.Builder change = Change.newBuilder()
                    .setChangeId(changeId())
                    .setKind(kind())
                    .setItemId(id)
                    .setExpectedVersion(version);
            fill(change, current);
            ApplyRequest request = ApplyRequest.newBuilder().setChange(change).build();
            return toTable(session.change(changeId(), stub -> stub.apply(request)));
        }
    }

    /** Returns the answer as a table, or ends the command when the change is not in force. */
    static Table toTable(ApplyResponse answer) {
        checkInForce(answer);
        String recorded = answer.getState() == ApplyState.APPLY_STATE_ACCEPTED
                ? "accepted"
                : "in force, not yet recorded; repeat with this change id to see it recorded";
        return Table.of(
                List.of("result", "version", "change"),
                List.of(recorded, Long.toString(answer.getVersion()), answer.getChangeId()));
    }

    /** Ends the command when a change is not in force. */
    static void checkInForce(ApplyResponse answer) {
        String detail = answer.getCode() + " " + answer.getDetail();
        switch (answer.getState()) {
            case APPLY_STATE_ACCEPTED, APPLY_STATE_IN_FORCE_NOT_RECORDED -> {}
            case APPLY_STATE_CONFLICT -> throw new CommandException(ExitCode.REFUSED, "refused, conflict: " + detail);
            case APPLY_STATE_INVALID -> throw new CommandException(ExitCode.REFUSED, "refused, not valid: " + detail);
            default -> throw new CommandException(
                    ExitCode.UNKNOWN, "unknown: " + detail + " (--change-id " + answer.getChangeId() + ")");
        }
    }

    private Optional<VersionedItem> current(Session session) {
        ListItemsRequest request = ListItemsRequest.newBuilder().setKind(kind()).build();
        return session.read(stub -> stub.listItems(request)).getItemsList().stream()
                .filter(item -> item.getId().equals(id))
                .findFirst();
    }
}
