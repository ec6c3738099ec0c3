package io.parsleycleat.core.process.common;

import java.util.concurrent.CountDownLatch;

/**
 * Takes the signals that stop a process from its start on. By default they end the JVM: a process that listens before
 * its handlers are installed would end with what it serves.
 *
 * <p>Created by the main thread before anything listens; it then awaits the stop. Signals arrive in threads of the JVM.
 */
public final class ProcessSignals {
    private final CountDownLatch stopRequested = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);

    private ProcessSignals() {}

    /** Installs the handlers. A stop that is asked for before the process runs is carried out once it does. */
    public static ProcessSignals install() {
        ProcessSignals signals = new ProcessSignals();
        Signals.handle(Signals.INTERRUPT, signals.stopRequested::countDown);
        if (!Signals.handle(Signals.STOP, signals.stopRequested::countDown)) {
            signals.stopAtJvmShutdown();
        }
        return signals;
    }

    /** Waits until the process is asked to stop. */
    public void awaitStop() {
        awaitUninterruptibly(stopRequested);
    }

    /** Tells that the process has stopped, or could not start, so that the JVM may end. */
    public void end() {
        ended.countDown();
    }

    /** Stops the process in order when something else ends the JVM. */
    public void stopAtJvmShutdown() {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stopRequested.countDown();
                            awaitUninterruptibly(ended);
                        },
                        "stop"));
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        boolean interrupted = false;
        boolean done = false;
        while (!done) {
            try {
                latch.await();
                done = true;
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
