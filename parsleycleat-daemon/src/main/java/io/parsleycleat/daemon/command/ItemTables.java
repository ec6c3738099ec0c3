package io.parsleycleat.daemon.command;

import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Quarantine;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.configuration.VersionedItem;
import io.parsleycleat.wire.operators.ListItemsResponse;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/** Turns items and changes into tables. Stateless. */
final class ItemTables {
    private ItemTables() {}

    /** Returns the items of one kind as a table. */
    static Table of(ItemKind kind, ListItemsResponse answer) {
        return switch (kind) {
            case ITEM_KIND_ACCOUNT -> table(
                    answer,
                    List.of("id", "version", "tokens a second", "burst", "weight", "free tier"),
                    ItemTables::account);
            case ITEM_KIND_KEY -> table(
                    answer,
                    List.of("id", "version", "account", "operator", "issued", "state"),
                    item -> key(item, answer.getWithdrawnKeyIdsList().contains(item.getId())));
            case ITEM_KIND_ROUTE -> table(
                    answer,
                    List.of("id", "version", "target", "open to all", "unkeyed account", "accounts", "idempotent"),
                    ItemTables::route);
            case ITEM_KIND_ADAPTER -> table(
                    answer,
                    List.of("id", "version", "base model", "owner", "versions", "current"),
                    ItemTables::adapter);
            case ITEM_KIND_UPSTREAM -> table(
                    answer,
                    List.of("id", "version", "kind", "base model", "service", "checks fencing"),
                    ItemTables::upstream);
            default -> table(answer, List.of("id", "version", "crashes", "ends"), ItemTables::quarantine);
        };
    }

    /** Returns entries of the audit trail as a table. */
    static Table audit(List<AuditEntry> entries) {
        return new Table(
                List.of("offset", "time", "author", "change", "item", "action", "result", "detail"),
                entries.stream().map(ItemTables::auditRow).toList());
    }

    private static List<String> auditRow(AuditEntry entry) {
        Change change = entry.getChange();
        return List.of(
                Long.toString(entry.getOffset()),
                Instant.ofEpochMilli(change.getTimeMillis()).toString(),
                change.getAuthor(),
                change.getChangeId(),
                label(change.getKind(), "ITEM_KIND_") + " " + change.getItemId(),
                change.hasRemoval() ? "remove" : "put",
                label(entry.getResult(), "CHANGE_RESULT_"),
                entry.getDetail());
    }

    private static Table table(
            ListItemsResponse answer, List<String> columns, Function<VersionedItem, List<String>> row) {
        return new Table(columns, answer.getItemsList().stream().map(row).toList());
    }

    private static List<String> account(VersionedItem item) {
        Account account = item.getAccount();
        return List.of(
                item.getId(),
                version(item),
                Double.toString(account.getTokensPerSecond()),
                Double.toString(account.getBurstTokens()),
                Integer.toString(account.getWeight()),
                yesNo(account.getFreeTier()));
    }

    private static List<String> key(VersionedItem item, boolean withdrawn) {
        Key key = item.getKey();
        return List.of(
                item.getId(),
                version(item),
                key.getAccountId(),
                yesNo(key.getOperator()),
                Instant.ofEpochMilli(key.getIssuedAtMillis()).toString(),
                withdrawn ? "withdrawn" : "valid");
    }

    private static List<String> route(VersionedItem item) {
        Route route = item.getRoute();
        return List.of(
                item.getId(),
                version(item),
                route.hasService() ? "service " + route.getService() : "adapter " + route.getAdapterId(),
                yesNo(route.getOpenToAll()),
                route.getUnkeyedAccountId(),
                String.join(",", route.getAccountIdsList()),
                label(route.getIdempotency(), "IDEMPOTENCY_RULE_"));
    }

    private static List<String> adapter(VersionedItem item) {
        Adapter adapter = item.getAdapter();
        return List.of(
                item.getId(),
                version(item),
                adapter.getBaseModel(),
                adapter.getOwnerAccountId(),
                String.join(",", adapter.getVersionsList()),
                adapter.getCurrentVersion());
    }

    private static List<String> upstream(VersionedItem item) {
        Upstream upstream = item.getUpstream();
        return List.of(
                item.getId(),
                version(item),
                label(upstream.getKind(), "UPSTREAM_KIND_"),
                upstream.getBaseModel(),
                upstream.getService(),
                yesNo(upstream.getChecksFencing()));
    }

    private static List<String> quarantine(VersionedItem item) {
        Quarantine quarantine = item.getQuarantine();
        return List.of(
                item.getId(),
                version(item),
                Integer.toString(quarantine.getCrashes()),
                Instant.ofEpochMilli(quarantine.getEndsAtMillis()).toString());
    }

    private static String version(VersionedItem item) {
        return Long.toString(item.getVersion());
    }

    private static String label(Enum<?> value, String prefix) {
        return value.name().replace(prefix, "").replace('_', ' ').toLowerCase(Locale.ROOT);
    }

    private static String yesNo(boolean value) {
        return value ? "yes" : "no";
    }
}
