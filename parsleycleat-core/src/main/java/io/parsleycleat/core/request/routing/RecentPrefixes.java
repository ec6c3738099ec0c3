package io.parsleycleat.core.request.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prompt prefixes that ran on an upstream a short time ago, which its cache is likely to hold.
 *
 * <p>Created once by the side, which notes each run that it starts and clears it when the engine restarts. Safe to
 * share between threads. A hint only: the engine's own cache decides.
 */
public final class RecentPrefixes {
    private static final int MAX_REMEMBERED = 512;
    private static final float LOAD_FACTOR = 0.75f;

    private record Prefix(String adapterId, long hash) {}

    private final Map<Prefix, Boolean> recent = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Prefix, Boolean> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    /** Notes that a prompt with this prefix starts to run. */
    public void note(String adapterId, long prefixHash) {
        synchronized (recent) {
            recent.put(new Prefix(adapterId, prefixHash), true);
        }
    }

    /** Returns whether the prefix ran a short time ago. A hash of 0 stands for no prefix. */
    public boolean contains(String adapterId, long prefixHash) {
        synchronized (recent) {
            return prefixHash != 0 && recent.containsKey(new Prefix(adapterId, prefixHash));
        }
    }

    /** Forgets all prefixes. */
    public void clear() {
        synchronized (recent) {
            recent.clear();
        }
    }
}
