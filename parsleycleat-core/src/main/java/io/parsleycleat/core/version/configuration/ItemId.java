package io.parsleycleat.core.version.configuration;

import io.parsleycleat.wire.configuration.ItemKind;
import java.util.Objects;

/**
 * Identifies a configured item: its kind, and its id within the kind.
 *
 * <p>Immutable and safe to share.
 */
public record ItemId(ItemKind kind, String id) {
    public ItemId {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(id, "id");
    }

    @Override
    public String toString() {
        return kind.name().replace("ITEM_KIND_", "").toLowerCase(java.util.Locale.ROOT) + " " + id;
    }
}
