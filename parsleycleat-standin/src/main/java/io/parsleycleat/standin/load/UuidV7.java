package io.parsleycleat.standin.load;

import java.util.UUID;
import java.util.random.RandomGenerator;

/** Makes UUIDs of version 7, which begin with their time. Stateless. */
final class UuidV7 {
    private static final int TIME_SHIFT = 16;
    private static final long VERSION = 0x7000L;
    private static final long RANDOM_HIGH = 0x0fffL;
    private static final long VARIANT = 0x8000000000000000L;
    private static final long RANDOM_LOW = 0x3fffffffffffffffL;

    private UuidV7() {}

    static UUID create(long timeMillis, RandomGenerator random) {
        long high = timeMillis << TIME_SHIFT | VERSION | (random.nextLong() & RANDOM_HIGH);
        return new UUID(high, VARIANT | (random.nextLong() & RANDOM_LOW));
    }
}
