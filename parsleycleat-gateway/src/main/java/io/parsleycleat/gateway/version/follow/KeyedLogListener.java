package io.parsleycleat.gateway.version.follow;

/** Takes the changes of a keyed log in order. Called by one follower at a time. */
public interface KeyedLogListener {
    /** Takes the newest value of a key. */
    void onPut(String key, byte[] value);

    /**
     * Takes that a key has no value any more.
     *
     * @param afterOutage whether the store has only just come back, so that the key may return at once
     */
    void onDelete(String key, boolean afterOutage);

    /** Called when keys that were dropped after an outage had time to return. */
    default void onOutageGraceEnd() {}
}
