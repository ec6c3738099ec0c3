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
 * @param callerAddress where callers connect
 * @param readyAddress where the balancer asks whether the entry is ready
 * @param readyPath the path of that question
 * @param metricsAddress where counters and latencies are served
 * @param sidePort the port of the sides on their VMs
 * @param withdrawalBound how soon after a key's withdrawal nothing may run with it
 * @param changeBound how soon a configuration version is in force
 * @param drainBound how soon nothing may be sent any more to an upstream that leaves
 * @param budgetSlack what all entries together may admit beyond an account's budget
 * @param retryBounds the fleet's budget of repeats
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
