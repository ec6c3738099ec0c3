package io.parsleycleat.standin.upstream;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The prompt prefixes that an engine keeps, as chains of blocks, the least recently used of which are evicted.
 *
 * <p>Created by {@link BatchScheduler}, under whose lock every method is called.
 */
final class PrefixCache {
    /** Tokens in a block. */
    static final int BLOCK_TOKENS = 16;

    private static final int BLOCK_CHARACTERS = 64;

    private final int capacity;
    private final Consumer<CacheEvent> events;
    private final Map<Long, String> blocks = new LinkedHashMap<>(16, 0.75f, true);

    PrefixCache(int capacity, Consumer<CacheEvent> events) {
        this.capacity = capacity;
        this.events = events;
    }

    /** Keeps a prompt's blocks and returns how many tokens of its beginning were kept before. */
    int admit(String model, String prompt) {
        long hash = EngineTokens.hash(model, "");
        int cached = 0;
        boolean unbroken = true;
        for (int start = 0; start + BLOCK_CHARACTERS <= prompt.length(); start += BLOCK_CHARACTERS) {
            hash = EngineTokens.hash(hash, prompt.substring(start, start + BLOCK_CHARACTERS));
            unbroken = unbroken && blocks.get(hash) != null;
            if (unbroken) {
                cached += BLOCK_TOKENS;
            } else {
                store(model, hash);
            }
        }
        return cached;
    }

    void clear() {
        blocks.clear();
    }

    private void store(String model, long hash) {
        if (blocks.put(hash, model) == null) {
            events.accept(new CacheEvent("stored", model, Long.toHexString(hash)));
        }
        if (blocks.size() > capacity) {
            Map.Entry<Long, String> oldest = blocks.entrySet().iterator().next();
            blocks.remove(oldest.getKey());
            events.accept(new CacheEvent("evicted", oldest.getValue(), Long.toHexString(oldest.getKey())));
        }
    }

    /** A block that was stored or evicted. */
    record CacheEvent(String kind, String model, String block) {}
}
