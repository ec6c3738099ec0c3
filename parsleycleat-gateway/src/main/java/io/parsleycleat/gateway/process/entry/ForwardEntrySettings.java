package io.parsleycleat.gateway.process.entry;

import io.parsleycleat.gateway.process.members.VmIdentity;
import io.parsleycleat.gateway.request.limits.BudgetHomes;
import io.parsleycleat.gateway.request.limits.RetryShare;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of a forwarding entry. Immutable.
 *
 * @param callerAddress the address to which callers connect
 * @param readyAddress the address of the load balancer's readiness check
 * @param readyPath the path of the readiness check
 * @param metricsAddress the address at which counters and latencies are served
 * @param sidePort the port on which the sides listen, on their VMs
 * @param withdrawalBound the time after the withdrawal of a key from which no request may run with it
 * @param changeBound the time within which a configuration version comes into force
 * @param drainBound the time from which no request may be sent to an upstream that is leaving
 * @param budgetSlack the amount by which all entries together may exceed an account's budget
 * @param retryBounds the retry budget of all entries together
 * @param shutdownTimeout how long a stopping process may take
 */
public record ForwardEntrySettings(
        VmIdentity vm,
        InetSocketAddress callerAddress,
        InetSocketAddress readyAddress,
        String readyPath,
        InetSocketAddress metricsAddress,
        int sidePort,
        Duration withdrawalBound,
        Duration changeBound,
        Duration drainBound,
        BudgetHomes.Slack budgetSlack,
        RetryShare.Bounds retryBounds,
        Duration shutdownTimeout) {
    public ForwardEntrySettings {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(callerAddress, "callers");
        Objects.requireNonNull(readyAddress, "ready");
        Objects.requireNonNull(readyPath, "readyPath");
        Objects.requireNonNull(metricsAddress, "metrics");
        Objects.requireNonNull(withdrawalBound, "withdrawalBound");
        Objects.requireNonNull(changeBound, "changeBound");
        Objects.requireNonNull(drainBound, "drainBound");
        Objects.requireNonNull(budgetSlack, "budgetSlack");
        Objects.requireNonNull(retryBounds, "retries");
        Objects.requireNonNull(shutdownTimeout, "grace");
    }
}
