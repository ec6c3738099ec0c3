package io.parsleycleat.core.process.common;

import com.google.common.flogger.FluentLogger;
import java.lang.reflect.Proxy;

/**
 * Installs handlers of operating system signals. Stateless.
 *
 * <p>The processes stop in a signal handler rather than in a shutdown hook, so that the whole stop can be logged: the
 * logging library removes its handlers in its own shutdown hook, which runs concurrently with all others.
 *
 * <p>The JDK's signal classes are not part of its documented API, so they are looked up by name.
 */
public final class Signals {
    /** Asks a process to read its settings again. */
    public static final String RELOAD = "HUP";
    /** Asks a process to stop. */
    public static final String STOP = "TERM";
    /** Asks a process to stop from its terminal. */
    public static final String INTERRUPT = "INT";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private Signals() {}

    /** Replaces the default handling of a signal by an action; returns whether this JVM supports that. */
    public static boolean handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Object signalInstance = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, signalInstance, proxy);
            return true;
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            logger.atWarning().withCause(e).log("cannot install a handler of SIG%s", name);
            return false;
        }
    }
}
