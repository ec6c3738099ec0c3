package io.parsleycleat.core.connection.run;

/** A run that an entry started. Created by {@link RunClient}; safe to share between threads. */
public interface RunHandle {
    /** Tells the side that bytes of the answer have left memory, so that it may send more. */
    void consumed(int bytes);

    /** Tells the side that nobody waits for the answer any more. The listener still gets its end. */
    void cancel(String reason);
}
