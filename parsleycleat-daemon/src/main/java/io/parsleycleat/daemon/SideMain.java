package io.parsleycleat.daemon;

import io.parsleycleat.core.process.side.SideProcess;
import io.parsleycleat.core.process.side.SideSettings;

/** The main of the side daemon. */
public final class SideMain {
    private SideMain() {}

    /** Runs the daemon until it is stopped. */
    public static void main(String[] arguments) {
        System.exit(new Daemon<>("parsleycleat-side", SideSettings::read, s -> s.vm().name(), SideMain::start)
                .run(arguments));
    }

    private static Daemon.RunningProcess start(SideSettings settings) {
        SideProcess process = SideProcess.start(settings);
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
