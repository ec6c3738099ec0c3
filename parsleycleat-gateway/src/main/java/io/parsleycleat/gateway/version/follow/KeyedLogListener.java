package io.parsleycleat.gateway.version.follow;

/**
 * Receives the changes of a keyed log in order. Called by one follower at a time.
 *
 * <p>A method that throws loses that one change only: the follower logs the record and goes on with the next one. A
 * listener that cannot decode a record throws a {@code ParsleycleatException} that says why.
 */
public interface KeyedLogListener {
    /** Handles the newest value of a key. */
    void onPut(String key, byte[] value);

    /**
     * Handles the deletion of a key.
     *
     * @param afterOutage whether the store has only just become reachable again, so that the key may soon be written
     *     again
     */
    void onDelete(String key, boolean afterOutage);

    /** Called when the time is over within which keys deleted after an outage may be written again. */
    default void onOutageGraceEnd() {}
}
