package io.parsleycleat.core.version.configuration;

import io.parsleycleat.wire.configuration.Account;
import io.parsleycleat.wire.configuration.Adapter;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.configuration.Change;
import io.parsleycleat.wire.configuration.ChangeResult;
import io.parsleycleat.wire.configuration.ConfigurationRecord;
import io.parsleycleat.wire.configuration.ItemKind;
import io.parsleycleat.wire.configuration.Key;
import io.parsleycleat.wire.configuration.Quarantine;
import io.parsleycleat.wire.configuration.Route;
import io.parsleycleat.wire.configuration.Snapshot;
import io.parsleycleat.wire.configuration.Upstream;
import io.parsleycleat.wire.configuration.VersionedItem;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Queue;
import io.vavr.collection.Set;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;

/**
 * The configuration folded from the log up to an offset.
 *
 * <p>The fold is pure: readers of the same records hold equal states. Created by {@link ConfigurationStore}; immutable
 * and safe to share between threads. Copies share their structure, so that a change costs a few small nodes however
 * many items there are.
 */
public final class ConfigurationState implements ConfigurationView {
    /** Number of changes whose ids and results are remembered, so that repeats are recognized. */
    public static final int RECENT_CHANGES = 4096;

    /** The state before the first record. */
    public static final ConfigurationState EMPTY =
            new ConfigurationState(0, HashMap.empty(), HashSet.empty(), HashMap.empty(), Queue.empty());

    private static final Comparator<VersionedItem> ITEM_ORDER =
            Comparator.comparing(VersionedItem::getKind).thenComparing(VersionedItem::getId);

    private final long version;
    private final Map<ItemKind, Map<String, VersionedItem>> items;
    private final Set<String> withdrawnKeys;
    private final Map<String, AuditEntry> recentById;
    private final Queue<AuditEntry> recent;

    private ConfigurationState(
            long version,
            Map<ItemKind, Map<String, VersionedItem>> items,
            Set<String> withdrawnKeys,
            Map<String, AuditEntry> recentById,
            Queue<AuditEntry> recent) {
        this.version = version;
        this.items = items;
        this.withdrawnKeys = withdrawnKeys;
        this.recentById = recentById;
        this.recent = recent;
    }

    // Construction

    /** Returns the state that a snapshot holds. */
    public static ConfigurationState of(Snapshot snapshot) {
        Map<ItemKind, Map<String, VersionedItem>> items = HashMap.empty();
        for (VersionedItem item : snapshot.getItemsList()) {
            items = items.put(
                    item.getKind(),
                    items.getOrElse(item.getKind(), HashMap.empty()).put(item.getId(), item));
        }
        Map<String, AuditEntry> byId = HashMap.ofEntries(io.vavr.collection.List.ofAll(snapshot.getRecentList())
                .map(e -> io.vavr.Tuple.of(e.getChange().getChangeId(), e)));
        return new ConfigurationState(
                snapshot.getNextOffset(),
                items,
                HashSet.ofAll(snapshot.getWithdrawnKeyIdsList()),
                byId,
                Queue.ofAll(snapshot.getRecentList()));
    }

    /** Returns the state as a snapshot whose bytes are the same at each reader of the same records. */
    public Snapshot toSnapshot() {
        return Snapshot.newBuilder()
                .setNextOffset(version)
                .addAllItems(items.values().flatMap(Map::values).sorted(ITEM_ORDER))
                .addAllWithdrawnKeyIds(withdrawnKeys.toSortedSet())
                .addAllRecent(recent)
                .build();
    }

    // The fold

    /** Returns the state after one record. A record below the version was folded before and changes nothing. */
    public ConfigurationState apply(long offset, ConfigurationRecord record) {
        if (offset < version) {
            return this;
        }
        return record.hasChange() ? applyChange(offset, record.getChange()) : withVersion(offset + 1);
    }

    /** Returns the state with a higher version, for offsets that hold nothing to fold. */
    public ConfigurationState withVersion(long newVersion) {
        return newVersion <= version
                ? this
                : new ConfigurationState(newVersion, items, withdrawnKeys, recentById, recent);
    }

    private ConfigurationState applyChange(long offset, Change change) {
        if (recentById.containsKey(change.getChangeId())) {
            return withVersion(offset + 1);
        }
        Optional<String> fault = ChangeRules.fault(this, change);
        if (fault.isPresent()) {
            return withResult(offset, change, ChangeResult.CHANGE_RESULT_INVALID, fault.get());
        }
        if (ChangeRules.isWithdrawal(change)) {
            return withResult(offset, change, ChangeResult.CHANGE_RESULT_ACCEPTED, "")
                    .withWithdrawnKey(change.getItemId());
        }
        long current = itemVersion(new ItemId(change.getKind(), change.getItemId()));
        if (current != change.getExpectedVersion()) {
            String detail = "expected version " + change.getExpectedVersion() + ", current version " + current;
            return withResult(offset, change, ChangeResult.CHANGE_RESULT_CONFLICT, detail);
        }
        return withResult(offset, change, ChangeResult.CHANGE_RESULT_ACCEPTED, "")
                .withItem(offset + 1, change);
    }

    private ConfigurationState withItem(long itemVersion, Change change) {
        Map<String, VersionedItem> ofKind = items.getOrElse(change.getKind(), HashMap.empty());
        Map<String, VersionedItem> changed = ChangeRules.toItem(change, itemVersion)
                .map(item -> ofKind.put(change.getItemId(), item))
                .orElseGet(() -> ofKind.remove(change.getItemId()));
        return new ConfigurationState(version, items.put(change.getKind(), changed), withdrawnKeys, recentById, recent);
    }

    private ConfigurationState withWithdrawnKey(String keyId) {
        return new ConfigurationState(version, items, withdrawnKeys.add(keyId), recentById, recent);
    }

    private ConfigurationState withResult(long offset, Change change, ChangeResult result, String detail) {
        AuditEntry entry = AuditEntry.newBuilder()
                .setOffset(offset)
                .setChange(change)
                .setResult(result)
                .setDetail(detail)
                .build();
        Map<String, AuditEntry> byId = recentById.put(change.getChangeId(), entry);
        Queue<AuditEntry> entries = recent.enqueue(entry);
        if (byId.size() > RECENT_CHANGES) {
            byId = byId.remove(entries.head().getChange().getChangeId());
            entries = entries.tail();
        }
        return new ConfigurationState(offset + 1, items, withdrawnKeys, byId, entries);
    }

    // Reading

    @Override
    public long version() {
        return version;
    }

    /** Returns an item with its version. */
    public Optional<VersionedItem> item(ItemId id) {
        return items.get(id.kind()).flatMap(m -> m.get(id.id())).toJavaOptional();
    }

    /** Returns the version of an item; 0 when there is none. */
    public long itemVersion(ItemId id) {
        return item(id).map(VersionedItem::getVersion).orElse(0L);
    }

    /** Returns all items of a kind in the order of their ids. */
    public java.util.List<VersionedItem> items(ItemKind kind) {
        return ofKind(kind).sorted(ITEM_ORDER).toJavaList();
    }

    /** Returns what became of a change, if it is one of the recent ones. */
    public Optional<AuditEntry> result(String changeId) {
        return recentById.get(changeId).toJavaOptional();
    }

    /** Returns the recent changes at and above an offset, oldest first. */
    public java.util.List<AuditEntry> recentFrom(long offset) {
        return recent.toJavaStream().dropWhile(e -> e.getOffset() < offset).toList();
    }

    /** Returns the lowest offset from which {@link #recentFrom} is complete. */
    public long recentFloor() {
        return recentById.size() < RECENT_CHANGES ? 0 : recent.head().getOffset();
    }

    @Override
    public Optional<Account> account(String id) {
        return item(new ItemId(ItemKind.ITEM_KIND_ACCOUNT, id)).map(VersionedItem::getAccount);
    }

    @Override
    public Optional<Key> key(String id) {
        return item(new ItemId(ItemKind.ITEM_KIND_KEY, id)).map(VersionedItem::getKey);
    }

    @Override
    public boolean isWithdrawn(String keyId) {
        return withdrawnKeys.contains(keyId);
    }

    @Override
    public Optional<Route> route(String id) {
        return item(new ItemId(ItemKind.ITEM_KIND_ROUTE, id)).map(VersionedItem::getRoute);
    }

    @Override
    public Optional<Adapter> adapter(String id) {
        return item(new ItemId(ItemKind.ITEM_KIND_ADAPTER, id)).map(VersionedItem::getAdapter);
    }

    @Override
    public Optional<Upstream> upstream(String id) {
        return item(new ItemId(ItemKind.ITEM_KIND_UPSTREAM, id)).map(VersionedItem::getUpstream);
    }

    @Override
    public Optional<Quarantine> quarantine(String fingerprint) {
        return item(new ItemId(ItemKind.ITEM_KIND_QUARANTINE, fingerprint)).map(VersionedItem::getQuarantine);
    }

    @Override
    public Collection<Quarantine> quarantines() {
        return all(ItemKind.ITEM_KIND_QUARANTINE, VersionedItem::getQuarantine);
    }

    @Override
    public Collection<Account> accounts() {
        return all(ItemKind.ITEM_KIND_ACCOUNT, VersionedItem::getAccount);
    }

    /** Returns all keys that were issued. */
    public Collection<Key> keys() {
        return all(ItemKind.ITEM_KIND_KEY, VersionedItem::getKey);
    }

    @Override
    public Collection<Route> routes() {
        return all(ItemKind.ITEM_KIND_ROUTE, VersionedItem::getRoute);
    }

    @Override
    public Collection<Adapter> adapters() {
        return all(ItemKind.ITEM_KIND_ADAPTER, VersionedItem::getAdapter);
    }

    @Override
    public Collection<Upstream> upstreams() {
        return all(ItemKind.ITEM_KIND_UPSTREAM, VersionedItem::getUpstream);
    }

    // Internals

    private <T> Collection<T> all(ItemKind kind, Function<VersionedItem, T> item) {
        return ofKind(kind).map(item).toJavaList();
    }

    private io.vavr.collection.Seq<VersionedItem> ofKind(ItemKind kind) {
        return items.get(kind).map(Map::values).getOrElse(io.vavr.collection.List.empty());
    }
}
