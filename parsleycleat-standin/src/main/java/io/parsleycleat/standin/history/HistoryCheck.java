package io.parsleycleat.standin.history;

import java.util.stream.Stream;

/** Finds what is wrong with a history in one respect. */
@FunctionalInterface
public interface HistoryCheck {
    /** Returns a description of each violation. */
    Stream<String> violations(History history);
}
