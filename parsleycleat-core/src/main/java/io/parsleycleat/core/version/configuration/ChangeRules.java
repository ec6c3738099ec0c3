package io.parsleycleat.core.version.configuration;

import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.Change.ActionCase;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.configuration.UpstreamKind;
import io.parsleycleat.wire.configuration.VersionedItem;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Decides whether a change is valid against the configuration that it meets.
 *
 * <p>Part of the fold, so that it depends on nothing but its arguments. Stateless.
 */
final class ChangeRules {
    /** Length of a SHA-256 hash. */
    static final int HASH_BYTES = 32;

    private static final int MAX_CHANGE_ID_CHARS = 100;
    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_VERSIONS = 100;
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

    private static final Map<ItemKind, ActionCase> ACTIONS = Map.of(
            ItemKind.ITEM_KIND_ACCOUNT, ActionCase.ACCOUNT,
            ItemKind.ITEM_KIND_KEY, ActionCase.KEY,
            ItemKind.ITEM_KIND_ROUTE, ActionCase.ROUTE,
            ItemKind.ITEM_KIND_ADAPTER, ActionCase.ADAPTER,
            ItemKind.ITEM_KIND_UPSTREAM, ActionCase.UPSTREAM,
            ItemKind.ITEM_KIND_QUARANTINE, ActionCase.QUARANTINE);

    private ChangeRules() {}

    /** Returns whether the change withdraws a key, which needs no order among other changes. */
    static boolean isWithdrawal(Change change) {
        return change.getKind() == ItemKind.ITEM_KIND_KEY && change.getActionCase() == ActionCase.REMOVAL;
    }

    /** Returns the item that a valid change puts in place; nothing when it removes the item. */
    static Optional<VersionedItem> toItem(Change change, long version) {
        VersionedItem.Builder item = VersionedItem.newBuilder()
                .setKind(change.getKind())
                .setId(change.getItemId())
                .setVersion(version);
        return switch (change.getActionCase()) {
            case ACCOUNT -> Optional.of(item.setAccount(change.getAccount()).build());
            case KEY -> Optional.of(item.setKey(change.getKey()).build());
            case ROUTE -> Optional.of(item.setRoute(change.getRoute()).build());
            case ADAPTER -> Optional.of(item.setAdapter(change.getAdapter()).build());
            case UPSTREAM -> Optional.of(item.setUpstream(change.getUpstream()).build());
            case QUARANTINE -> Optional.of(
                    item.setQuarantine(change.getQuarantine()).build());
            default -> Optional.empty();
        };
    }

    /** Returns what is wrong with a change; nothing when it is valid. */
    static Optional<String> fault(ConfigurationState state, Change change) {
        return shapeFault(change).or(() -> contentFault(state, change));
    }

    private static Optional<String> shapeFault(Change change) {
        ActionCase action = ACTIONS.get(change.getKind());
        return firstOf(List.of(
                check(isBlankOrLong(change.getChangeId()), "the change id is missing or too long"),
                check(action == null, "the kind of item is missing"),
                check(!ID.matcher(change.getItemId()).matches(), "the id is not of the form " + ID.pattern()),
                check(
                        change.getActionCase() != action && !isRemoval(change),
                        "the content is not of the kind that the change names")));
    }

    private static Optional<String> contentFault(ConfigurationState state, Change change) {
        String id = change.getItemId();
        return switch (change.getActionCase()) {
            case ACCOUNT -> accountFault(id, change.getAccount());
            case KEY -> keyFault(state, id, change.getKey());
            case ROUTE -> routeFault(state, id, change.getRoute());
            case ADAPTER -> adapterFault(state, id, change.getAdapter());
            case UPSTREAM -> upstreamFault(id, change.getUpstream());
            case QUARANTINE -> sameId(id, change.getQuarantine().getFingerprint());
            case REMOVAL -> removalFault(state, change.getKind(), id);
            case ACTION_NOT_SET -> Optional.of("the change has no content");
        };
    }

    private static Optional<String> accountFault(String id, Account account) {
        return firstOf(List.of(
                sameId(id, account.getId()),
                check(!isPositive(account.getTokensPerSecond()), "the rate is not above 0"),
                check(!isPositive(account.getBurstTokens()), "the burst is not above 0"),
                check(
                        account.getWeight() < 1 || account.getWeight() > MAX_WEIGHT,
                        "the weight is not between 1 and " + MAX_WEIGHT)));
    }

    private static Optional<String> keyFault(ConfigurationState state, String id, Key key) {
        return firstOf(List.of(
                sameId(id, key.getId()),
                check(state.key(id).isPresent(), "a key that was issued cannot be changed"),
                check(state.isWithdrawn(id), "a withdrawn key cannot be issued again"),
                check(key.getSecretHash().size() != HASH_BYTES, "the hash is not one of SHA-256"),
                check(key.getOperator() != key.getAccountId().isEmpty(), "a key is for an account or for an operator"),
                check(!key.getOperator() && isUnknown(state, key.getAccountId()), "there is no such account")));
    }

    private static Optional<String> routeFault(ConfigurationState state, String id, Route route) {
        return firstOf(List.of(
                sameId(id, route.getId()),
                check(route.getService().isEmpty() && route.getAdapterId().isEmpty(), "the route has no target"),
                check(
                        route.hasAdapterId()
                                && state.adapter(route.getAdapterId()).isEmpty(),
                        "there is no such adapter"),
                check(
                        route.getOpenToAll() && isUnknown(state, route.getUnkeyedAccountId()),
                        "a route open to all needs an account that is charged for callers without a key"),
                check(
                        route.getIdempotency() == io.parsleycleat.wire.configuration.IdempotencyRule.UNRECOGNIZED,
                        "the idempotency rule is not known")));
    }

    private static Optional<String> adapterFault(ConfigurationState state, String id, Adapter adapter) {
        String owner = adapter.getOwnerAccountId();
        return firstOf(List.of(
                sameId(id, adapter.getId()),
                check(!ID.matcher(adapter.getBaseModel()).matches(), "the base model is missing or not an id"),
                check(
                        adapter.getVersionsList().stream()
                                .anyMatch(v -> !ID.matcher(v).matches()),
                        "a version is not an id"),
                check(adapter.getVersionsCount() > MAX_VERSIONS, "there are more than " + MAX_VERSIONS + " versions"),
                check(
                        !adapter.getVersionsList().contains(adapter.getCurrentVersion()),
                        "the current version is not one of the versions"),
                check(!owner.isEmpty() && isUnknown(state, owner), "there is no such owner account")));
    }

    private static Optional<String> upstreamFault(String id, Upstream upstream) {
        UpstreamKind kind = upstream.getKind();
        return firstOf(List.of(
                sameId(id, upstream.getId()),
                check(
                        kind != UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE
                                && kind != UpstreamKind.UPSTREAM_KIND_PLAIN_SERVICE,
                        "the kind of upstream is missing"),
                check(
                        kind == UpstreamKind.UPSTREAM_KIND_MODEL_ENGINE
                                && upstream.getBaseModel().isEmpty(),
                        "a model engine needs a base model"),
                check(
                        kind == UpstreamKind.UPSTREAM_KIND_PLAIN_SERVICE
                                && upstream.getService().isEmpty(),
                        "a plain service needs a service name")));
    }

    private static Optional<String> removalFault(ConfigurationState state, ItemKind kind, String id) {
        return switch (kind) {
            case ITEM_KIND_ACCOUNT -> firstOf(List.of(
                    check(
                            state.keys().stream()
                                    .anyMatch(k -> k.getAccountId().equals(id) && !state.isWithdrawn(k.getId())),
                            "a key of the account is not withdrawn"),
                    check(
                            state.adapters().stream()
                                    .anyMatch(a -> a.getOwnerAccountId().equals(id)),
                            "an adapter belongs to the account"),
                    check(
                            state.routes().stream()
                                    .anyMatch(r -> r.getUnkeyedAccountId().equals(id)),
                            "a route is charged to the account")));
            case ITEM_KIND_ADAPTER -> check(
                    state.routes().stream().anyMatch(r -> r.getAdapterId().equals(id)), "a route leads to the adapter");
            default -> Optional.empty();
        };
    }

    private static boolean isRemoval(Change change) {
        return change.getActionCase() == ActionCase.REMOVAL;
    }

    private static boolean isBlankOrLong(String changeId) {
        return changeId.isBlank() || changeId.length() > MAX_CHANGE_ID_CHARS;
    }

    private static boolean isPositive(double number) {
        return number > 0 && Double.isFinite(number);
    }

    private static boolean isUnknown(ConfigurationState state, String accountId) {
        return state.account(accountId).isEmpty();
    }

    private static Optional<String> sameId(String id, String contentId) {
        return check(!id.equals(contentId), "the content has another id than the change");
    }

    private static Optional<String> check(boolean fault, String detail) {
        return fault ? Optional.of(detail) : Optional.empty();
    }

    private static Optional<String> firstOf(List<Optional<String>> faults) {
        return faults.stream().flatMap(Optional::stream).findFirst();
    }
}
