package io.parsleycleat.daemon.command;

import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.IdempotencyRule;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.configuration.UpstreamKind;
import io.parsleycleat.wire.configuration.VersionedItem;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.kohsuke.args4j.Option;

/** The commands that put items in place or remove them. */
final class ItemCommands {
    private ItemCommands() {}

    /** Creates or changes an account. */
    static final class PutAccount extends ChangeCommand {
        @Option(name = "--rate", required = true, metaVar = "TOKENS", usage = "tokens a second over the whole fleet")
        private double rate;

        @Option(name = "--burst", required = true, metaVar = "TOKENS", usage = "tokens saved up while idle, at most")
        private double burst;

        @Option(name = "--weight", metaVar = "N", usage = "share of contended upstream time, 1 to 1000")
        private int weight = 1;

        @Option(name = "--free-tier", usage = "the account yields to all others")
        private boolean freeTier;

        @Override
        ItemKind kind() {
            return ItemKind.ITEM_KIND_ACCOUNT;
        }

        @Override
        void fill(Change.Builder change, Optional<VersionedItem> current) {
            change.setAccount(Account.newBuilder()
                    .setId(id())
                    .setTokensPerSecond(rate)
                    .setBurstTokens(burst)
                    .setWeight(weight)
                    .setFreeTier(freeTier));
        }

        @Override
        String example() {
            return "account put tailors --rate 5000 --burst 20000 --weight 4";
        }
    }

    /** Creates or changes a route. */
    static final class PutRoute extends ChangeCommand {
        @Option(name = "--service", metaVar = "NAME", usage = "plain service that the route leads to")
        private String service = "";

        @Option(name = "--adapter", metaVar = "ID", usage = "adapter that the route leads to")
        private String adapter = "";

        @Option(name = "--open-to-all", usage = "serve callers without a key, too")
        private boolean openToAll;

        @Option(name = "--unkeyed-account", metaVar = "ID", usage = "account charged for callers without a key")
        private String unkeyedAccount = "";

        @Option(name = "--account", metaVar = "ID", usage = "account that may use the route; all when none is given")
        private List<String> accounts = new ArrayList<>();

        @Option(
                name = "--idempotent-methods",
                metaVar = "safe|all|none",
                usage = "methods that may be repeated; safe are GET, HEAD and OPTIONS")
        private String idempotent = "safe";

        @Override
        ItemKind kind() {
            return ItemKind.ITEM_KIND_ROUTE;
        }

        @Override
        void fill(Change.Builder change, Optional<VersionedItem> current) {
            Route.Builder route = Route.newBuilder()
                    .setId(id())
                    .setOpenToAll(openToAll)
                    .setUnkeyedAccountId(unkeyedAccount)
                    .addAllAccountIds(accounts)
                    .setIdempotency(rule());
            if (service.isEmpty() == adapter.isEmpty()) {
                throw usage("one of --service and --adapter is needed");
            }
            change.setRoute(service.isEmpty() ? route.setAdapterId(adapter) : route.setService(service));
        }

        private IdempotencyRule rule() {
            return switch (idempotent) {
                case "safe" -> IdempotencyRule.IDEMPOTENCY_RULE_SAFE_METHODS;
                case "all" -> IdempotencyRule.IDEMPOTENCY_RULE_ALL_METHODS;
                case "none" -> IdempotencyRule.IDEMPOTENCY_RULE_NO_METHODS;
                default -> throw usage("--idempotent-methods: safe, all or none");
            };
        }

        @Override
        String example() {
            return "route put bookings --service bookings --account trails";
        }
    }

    /** Creates or changes an adapter. */
    static final class PutAdapter extends ChangeCommand {
        @Option(name = "--base-model", required = true, metaVar = "NAME", usage = "model that the adapter belongs to")
        private String baseModel = "";

        @Option(name = "--version", required = true, metaVar = "NAME", usage = "a version that may be asked for")
        private List<String> versions = new ArrayList<>();

        @Option(name = "--current", metaVar = "NAME", usage = "version that runs by default; the last one given")
        private String current = "";

        @Option(name = "--owner", metaVar = "ID", usage = "account that the adapter belongs to; shared when not given")
        private String owner = "";

        @Override
        ItemKind kind() {
            return ItemKind.ITEM_KIND_ADAPTER;
        }

        @Override
        void fill(Change.Builder change, Optional<VersionedItem> currentItem) {
            change.setAdapter(Adapter.newBuilder()
                    .setId(id())
                    .setBaseModel(baseModel)
                    .setOwnerAccountId(owner)
                    .addAllVersions(versions)
                    .setCurrentVersion(current.isEmpty() ? versions.get(versions.size() - 1) : current));
        }

        @Override
        String example() {
            return "adapter put quotes --base-model base-7b --version 3 --version 4 --current 3 --owner tailors";
        }
    }

    /** Creates or changes an upstream. */
    static final class PutUpstream extends ChangeCommand {
        /** What an upstream is. */
        enum Kind {
            engine,
            service
        }

        @Option(name = "--kind", required = true, usage = "model engine or plain service")
        private Kind kind = Kind.engine;

        @Option(name = "--base-model", metaVar = "NAME", usage = "model that the engine serves")
        private String baseModel = "";

        @Option(name = "--service", metaVar = "NAME", usage = "name of the plain service")
        private String service = "";

        @Option(name = "--checks-fencing", usage = "the upstream refuses orders with an old fencing number")
        private boolean checksFencing;

        @Override
        ItemKind kind() {
            return ItemKind.ITEM_KIND_UPSTREAM;
        }

        @Override
        void fill(Change.Builder change, Optional<VersionedItem> current) {
            change.setUpstream(Upstream.newBuilder()
                    .setId(id())
                    .setKind(
                            kind == Kind.engine
                                    ? UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE
                                    : UpstreamKind.UPSTREAM_KIND_PLAIN_SERVICE)
                    .setBaseModel(baseModel)
                    .setService(service)
                    .setChecksFencing(checksFencing));
        }

        @Override
        String example() {
            return "upstream put engine-1 --kind engine --base-model base-7b --checks-fencing";
        }
    }

    /** Removes an item. */
    static final class Remove extends ChangeCommand {
        private final ItemKind kind;

        Remove(ItemKind kind) {
            this.kind = kind;
        }

        @Override
        ItemKind kind() {
            return kind;
        }

        @Override
        void fill(Change.Builder change, Optional<VersionedItem> current) {
            change.setRemoval(true);
        }

        @Override
        String example() {
            return kind.name().replace("ITEM_KIND_", "").toLowerCase(Locale.ROOT) + " remove some-id";
        }
    }
}
