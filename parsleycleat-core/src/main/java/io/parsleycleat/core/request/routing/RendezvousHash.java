package io.parsleycleat.core.request.routing;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Orders candidates by rendezvous hashing: each key has an order of its own, and a lost candidate moves no other. */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private RendezvousHash() {}

    /** Returns the candidates in the order of the key. */
    public static <T> List<T> order(String key, List<T> candidates, Function<T, String> id) {
        long keyHash = hash(FNV_OFFSET, key);
        return candidates.stream()
                .map(c -> new Scored<>(c, mix(hash(keyHash, id.apply(c)))))
                .sorted(Comparator.<Scored<T>>comparingLong(Scored::score).reversed())
                .map(Scored::candidate)
                .toList();
    }

    private record Scored<T>(T candidate, long score) {}

    private static long hash(long seed, String text) {
        long h = seed;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ (b & 0xff)) * FNV_PRIME;
        }
        return (h ^ 0xff) * FNV_PRIME;
    }

    private static long mix(long value) {
        long h = value;
        h = (h ^ (h >>> MIX_SHIFT)) * MIX_1;
        h = (h ^ (h >>> MIX_SHIFT)) * MIX_2;
        return h ^ (h >>> MIX_SHIFT);
    }
}
