package io.parsleycleat.gateway.process.members;

import io.parsleycleat.core.connection.peer.FrameRouter;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.process.time.TimeSource;
import io.parsleycleat.gateway.request.choose.EngineView;
import io.parsleycleat.gateway.request.crash.CrashWatch;
import io.parsleycleat.gateway.request.limits.AccountBudgets;
import io.parsleycleat.wire.gate.AccountUsage;
import io.parsleycleat.wire.gate.GateMessage;
import io.parsleycleat.wire.gate.UpstreamCrash;
import io.parsleycleat.wire.gate.UsageReport;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * What an entry tells the others, and takes from them and from the sides.
 *
 * <p>One an entry; safe to share between threads.
 */
public final class EntryExchange {
    /** An unchanged report is repeated, so that the others know that they hear all. */
    private static final Duration REPEAT = Duration.ofMillis(500);

    private final PeerClient peers;
    private final long incarnation;
    private final Supplier<Map<String, String>> others;
    private final AccountBudgets budgets;
    private final CrashWatch crashes;
    private final EngineView view;
    private final TimeSource time;
    private Map<String, Double> lastTotals = Map.of();
    private long lastReportNanos;

    /** Creates an exchange and registers it for its frames. */
    public EntryExchange(
            PeerClient peers,
            FrameRouter frames,
            long incarnation,
            Supplier<Map<String, String>> others,
            AccountBudgets budgets,
            CrashWatch crashes,
            EngineView view,
            TimeSource time) {
        this.peers = peers;
        this.incarnation = incarnation;
        this.others = others;
        this.budgets = budgets;
        this.crashes = crashes;
        this.view = view;
        this.time = time;
        frames.register(Frame.BodyCase.GATE, this::handle);
    }

    /** Tells the others what was admitted, when that has changed. */
    public synchronized void reportUsage() {
        long now = time.monotonicNanos();
        Map<String, Double> totals = budgets.report();
        boolean changed = !totals.equals(lastTotals);
        if (!changed && now - lastReportNanos < REPEAT.toNanos()) {
            return;
        }
        lastTotals = totals;
        lastReportNanos = now;
        UsageReport report = UsageReport.newBuilder()
                .setIncarnation(incarnation)
                .addAllAccounts(totals.entrySet().stream()
                        .map(e -> AccountUsage.newBuilder()
                                .setAccount(e.getKey())
                                .setSpent(e.getValue())
                                .build())
                        .toList())
                .build();
        tellAll(GateMessage.newBuilder().setUsage(report).build());
    }

    /** Tells the others that an upstream crashed. */
    public void tellCrash(UpstreamCrash crash) {
        tellAll(GateMessage.newBuilder().setCrash(crash).build());
    }

    private void tellAll(GateMessage message) {
        others.get()
                .values()
                .forEach(address -> peers.send(address, Frame.newBuilder().setGate(message)));
    }

    private void handle(PeerChannel from, Frame frame) {
        GateMessage message = frame.getGate();
        switch (message.getMessageCase()) {
            case STATUS -> view.onStatus(message.getStatus());
            case CRASH -> crashes.onCrash(message.getCrash());
            case USAGE -> {
                UsageReport report = message.getUsage();
                Map<String, Double> totals = report.getAccountsList().stream()
                        .collect(Collectors.toMap(AccountUsage::getAccount, AccountUsage::getSpent, (a, b) -> b));
                budgets.onReport(from.hello().getVmName(), totals);
            }
            default -> {
                // Sides answer with replies, which the transport pairs with their requests.
            }
        }
    }
}
