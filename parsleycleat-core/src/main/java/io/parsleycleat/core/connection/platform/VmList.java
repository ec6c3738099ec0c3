package io.parsleycleat.core.connection.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of live and leaving VMs, which lags behind.
 *
 * <p>One a process; implementations are safe to share between threads.
 */
public interface VmList {
    /** Reads the whole list. */
    CompletableFuture<List<Vm>> read();
}
