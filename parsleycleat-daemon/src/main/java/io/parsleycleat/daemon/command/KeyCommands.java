package io.parsleycleat.daemon.command;

import io.parsleycleat.core.version.configuration.keys.KeyFormat;
import io.parsleycleat.core.version.configuration.keys.Keys;
import io.parsleycleat.wire.operators.IssueKeyRequest;
import io.parsleycleat.wire.operators.IssueKeyResponse;
import io.parsleycleat.wire.operators.WithdrawKeyRequest;
import java.util.HexFormat;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The commands about keys. */
final class KeyCommands {
    private KeyCommands() {}

    /** Issues a key and shows it. */
    static final class Create extends Command {
        @Option(name = "--account", metaVar = "ID", usage = "account whose routes the key admits to")
        private String account = "";

        @Option(name = "--operator", usage = "issue an operator key instead")
        private boolean operator;

        @Override
        Table run() {
            if (operator != account.isEmpty()) {
                throw usage("one of --account and --operator is needed");
            }
            IssueKeyRequest request = IssueKeyRequest.newBuilder()
                    .setChangeId(changeId())
                    .setAccountId(account)
                    .setOperator(operator)
                    .build();
            try (Session session = open()) {
                IssueKeyResponse answer = session.change(changeId(), stub -> stub.issueKey(request));
                ChangeCommand.checkInForce(answer.getResult());
                return Table.of(
                        List.of("id", "key", "change"), List.of(answer.getKeyId(), answer.getKey(), changeId()));
            }
        }

        @Override
        String example() {
            return "key create --account tailors";
        }
    }

    /** Withdraws a key, also while the log is out. */
    static final class Withdraw extends Command {
        @Argument(metaVar = "ID", required = true, usage = "public id of the key")
        private String id = "";

        @Override
        Table run() {
            WithdrawKeyRequest request = WithdrawKeyRequest.newBuilder()
                    .setChangeId(changeId())
                    .setKeyId(id)
                    .build();
            try (Session session = open()) {
                return ChangeCommand.toTable(session.change(changeId(), stub -> stub.withdrawKey(request)));
            }
        }

        @Override
        String example() {
            return "key withdraw 0f3a5c7e9b1d2f46";
        }
    }

    /** Makes the first operator key without asking any server. */
    static final class NewSecret extends Command {
        @Override
        Table run() {
            KeyFormat key = Keys.newKey(Keys.FIRST_OPERATOR_ID);
            String hash = HexFormat.of().formatHex(Keys.hash(key).toByteArray());
            return Table.of(List.of("key", "hash for the settings"), List.of(key.text(), hash));
        }

        @Override
        String example() {
            return "key new-secret";
        }
    }
}
