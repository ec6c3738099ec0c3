package io.parsleycleat.standin.history;

import io.parsleycleat.standin.history.HistoryEvent.ChangeAccepted;
import io.parsleycleat.standin.history.HistoryEvent.ItemRead;
import java.time.Duration;
import java.util.stream.Stream;

/** Checks of the configuration that processes show. Stateless. */
final class ConfigurationChecks {
    private ConfigurationChecks() {}

    /** An accepted change is in force everywhere within the bound, and no process goes back to an earlier version. */
    static Stream<String> staysInForce(History history, Duration bound) {
        Stream<String> late = history.of(ChangeAccepted.class).flatMap(change -> history.of(ItemRead.class)
                .filter(read -> read.item().equals(change.item()))
                .filter(read -> read.at() > change.at() + bound.toMillis() && read.version() < change.version())
                .map(read -> read.process() + " shows version " + read.version() + " of " + read.item() + " after "
                        + change.version() + " was accepted"));
        Stream<String> reverted = history.of(ItemRead.class).flatMap(read -> history.of(ItemRead.class)
                .filter(earlier ->
                        earlier.item().equals(read.item()) && earlier.process().equals(read.process()))
                .filter(earlier -> earlier.at() < read.at() && earlier.version() > read.version())
                .limit(1)
                .map(earlier -> read.process() + " went back from version " + earlier.version() + " of " + read.item()
                        + " to " + read.version()));
        return Stream.concat(late, reverted);
    }
}
