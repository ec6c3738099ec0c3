package io.parsleycleat.core.process.result;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/** Turns failures of asynchronous code into refusals. Stateless. */
public final class Failures {
    private Failures() {}

    /** Returns the failure below the wrappers that futures add. */
    public static Throwable unwrap(Throwable failure) {
        Throwable t = failure;
        while ((t instanceof CompletionException || t instanceof ExecutionException) && t.getCause() != null) {
            t = t.getCause();
        }
        return t;
    }

    /** Returns the refusal that a failure carries, or one with the fallback code. */
    public static Refusal toRefusal(Throwable failure, ResultCode fallback) {
        Throwable t = unwrap(failure);
        if (t instanceof RequestException e) {
            return e.refusal();
        }
        String detail = t.getMessage() == null ? t.getClass().getSimpleName() : t.getMessage();
        return Refusal.of(fallback, detail);
    }
}
