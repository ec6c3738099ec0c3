package io.parsleycleat.daemon;

import io.parsleycleat.core.process.entry.EntryProcess;
import io.parsleycleat.core.process.entry.EntrySettings;

/** The main of the entry daemon. */
public final class EntryMain {
    private EntryMain() {}

    /** Runs the daemon until it is stopped. */
    public static void main(String[] arguments) {
        System.exit(new Daemon<>("parsleycleat-entry", EntrySettings::read, s -> s.vm().name(), EntryMain::start)
                .run(arguments));
    }

    private static Daemon.RunningProcess start(EntrySettings settings) {
        EntryProcess process = EntryProcess.start(settings);
        return new Daemon.RunningProcess() {
            @Override
            public String listening() {
                return process.describe();
            }

            @Override
            public void stop() {
                process.stop();
            }
        };
    }
}
