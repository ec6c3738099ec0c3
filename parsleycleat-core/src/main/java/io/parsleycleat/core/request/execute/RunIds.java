package io.parsleycleat.core.request.execute;

import io.parsleycleat.wire.run.RunId;

/** Writes run ids as text. Stateless. */
final class RunIds {
    private RunIds() {}

    /** Returns the text by which queue and engine know a run. */
    static String text(RunId id) {
        return Long.toHexString(id.getIncarnation()) + "-" + id.getSequence();
    }
}
