package io.parsleycleat.daemon.command;

import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.operators.ExplainRequest;
import io.parsleycleat.wire.operators.ExplainResponse;
import io.parsleycleat.wire.operators.FleetMember;
import io.parsleycleat.wire.operators.FleetRequest;
import io.parsleycleat.wire.operators.FleetResponse;
import io.parsleycleat.wire.operators.ListItemsRequest;
import io.parsleycleat.wire.operators.ListItemsResponse;
import io.parsleycleat.wire.operators.WatchAuditRequest;
import java.time.Instant;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Spliterators;
import java.util.function.Consumer;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The commands that show something and change nothing. */
final class ReportCommands {
    private ReportCommands() {}

    /** Lists the items of one kind. */
    static final class ListItems extends Command {
        private final ItemKind kind;

        ListItems(ItemKind kind) {
            this.kind = kind;
        }

        @Override
        Table run() {
            ListItemsRequest request =
                    ListItemsRequest.newBuilder().setKind(kind).build();
            try (Session session = open()) {
                ListItemsResponse answer = session.read(stub -> stub.listItems(request));
                return ItemTables.of(kind, answer);
            }
        }

        @Override
        String example() {
            return kind.name().replace("ITEM_KIND_", "").toLowerCase(Locale.ROOT) + " list --output json";
        }
    }

    /** Lists the processes of the fleet. */
    static final class Fleet extends Command {
        @Option(name = "--ask", usage = "ask each process for its configuration version")
        private boolean ask;

        @Override
        Table run() {
            FleetRequest request = FleetRequest.newBuilder().setAskMembers(ask).build();
            try (Session session = open()) {
                FleetResponse answer = session.read(stub -> stub.getFleet(request));
                return new Table(
                        List.of("vm", "role", "data centre", "region", "upstream", "leaving", "answers", "version"),
                        answer.getMembersList().stream().map(this::row).toList());
            }
        }

        private List<String> row(FleetMember member) {
            return List.of(
                    member.getVmName(),
                    member.getRole(),
                    member.getDataCentre(),
                    member.getRegion(),
                    member.getUpstreamId(),
                    member.getLeaving() ? "yes" : "no",
                    ask ? (member.getReachable() ? "yes" : "no") : "not asked",
                    ask ? Long.toString(member.getConfigurationVersion()) : "");
        }

        @Override
        String example() {
            return "fleet list --ask";
        }
    }

    /** Shows the audit trail. */
    static final class Audit extends Command {
        @Option(name = "--from", metaVar = "OFFSET", usage = "offset of the log to start at")
        private long from;

        @Option(name = "--follow", usage = "print each further change until interrupted")
        private boolean follow;

        private final Consumer<Table> printer;

        /** Creates the command with where it prints changes while it follows. */
        Audit(Consumer<Table> printer) {
            this.printer = printer;
        }

        @Override
        Table run() {
            WatchAuditRequest request = WatchAuditRequest.newBuilder()
                    .setFromOffset(from)
                    .setFollow(follow)
                    .build();
            try (Session session = open()) {
                if (!follow) {
                    return ItemTables.audit(session.read(
                            stub -> stream(stub.watchAudit(request)).toList()));
                }
                session.watch(stub -> {
                    stream(stub.watchAudit(request)).forEach(e -> printer.accept(ItemTables.audit(List.of(e))));
                    return 0;
                });
                return ItemTables.audit(List.of());
            }
        }

        private static Stream<AuditEntry> stream(Iterator<AuditEntry> entries) {
            return StreamSupport.stream(Spliterators.spliteratorUnknownSize(entries, 0), false);
        }

        @Override
        String example() {
            return "audit list --from 120";
        }
    }

    /** Tells what happened to a request. */
    static final class Explain extends Command {
        @Argument(metaVar = "REQUEST", required = true, usage = "id that the answer's headers state")
        private String id = "";

        @Override
        Table run() {
            ExplainRequest request =
                    ExplainRequest.newBuilder().setRequestId(id).build();
            try (Session session = open()) {
                ExplainResponse answer = session.read(stub -> stub.explain(request));
                if (!answer.getFound()) {
                    throw new CommandException(ExitCode.REFUSED, "this entry knows no request " + id);
                }
                return new Table(
                        List.of("time", "step", "detail"),
                        answer.getEventsList().stream()
                                .map(e -> List.of(
                                        Instant.ofEpochMilli(e.getTimeMillis()).toString(), e.getStep(), e.getDetail()))
                                .toList());
            }
        }

        @Override
        String example() {
            return "explain 018f3c5e-7a10-7c3e-9a55-0d2f6c1b7e42";
        }
    }
}
