package io.parsleycleat.gateway.version.routes;

import java.util.Collection;
import java.util.List;
import java.util.Objects;

/** Identifies an adapter of a model, or the model itself if the adapter name is empty. */
public record AdapterId(String model, String adapter) {
    public AdapterId {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
    }

    /** Returns the identifier of a base model without an adapter. */
    public static AdapterId baseModel(String model) {
        return new AdapterId(model, "");
    }

    /** Returns whether this identifies the model itself. */
    public boolean isBaseModel() {
        return adapter.isEmpty();
    }

    @Override
    public String toString() {
        return isBaseModel() ? model : model + "/" + adapter;
    }

    /** Returns the sorted text forms of several ids. */
    public static List<String> names(Collection<AdapterId> ids) {
        return ids.stream().map(AdapterId::toString).sorted().toList();
    }
}
