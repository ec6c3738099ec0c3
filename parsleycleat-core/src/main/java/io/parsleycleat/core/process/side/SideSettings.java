package io.parsleycleat.core.process.side;

import io.parsleycleat.core.process.common.ControlSettings;
import io.parsleycleat.core.process.common.PlatformSettings;
import io.parsleycleat.core.process.common.VmSettings;
import io.parsleycleat.core.process.settings.SettingsNode;
import io.parsleycleat.core.request.queue.QueuePolicy;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Objects;

/** The checked settings of a side. Immutable and safe to share. */
public record SideSettings(
        VmSettings vm, Listen listen, PlatformSettings platform, ControlSettings control, UpstreamSettings upstream) {
    /** The addresses that a side listens on. */
    public record Listen(InetSocketAddress peers, InetSocketAddress admin) {
        static Listen read(SettingsNode node) {
            Listen listen = new Listen(node.address("peers"), node.address("admin"));
            node.end();
            return listen;
        }
    }

    /** What kind of upstream a side stands beside. */
    public enum Kind {
        /** Runs completions on adapters. */
        MODEL_ENGINE,
        /** Answers HTTP requests. */
        PLAIN_SERVICE
    }

    /**
     * The side's upstream.
     *
     * @param service name of the service; empty for a model engine
     * @param checksFencing whether the upstream refuses orders with an old fencing number
     * @param leaseMillis how long a side without news of the log may still hold its upstream
     * @param maxRunning requests that run at once
     * @param maxWaiting requests that may wait
     * @param runTimeoutMillis longest run
     * @param reportIntervalMillis time between two reports of the upstream
     */
    public record UpstreamSettings(
            String id,
            Kind kind,
            URI address,
            String service,
            boolean checksFencing,
            int leaseMillis,
            int maxRunning,
            int maxWaiting,
            QueuePolicy queuePolicy,
            int runTimeoutMillis,
            int reportIntervalMillis) {
        static UpstreamSettings read(SettingsNode node) {
            UpstreamSettings upstream = new UpstreamSettings(
                    node.text("id"),
                    node.choice("kind", Kind.class, Kind.MODEL_ENGINE),
                    node.serviceAddress("address"),
                    node.text("service", ""),
                    node.flag("checksFencing", false),
                    node.integer("leaseMillis", 10_000, 500, 600_000),
                    node.integer("maxRunning", 16, 1, 10_000),
                    node.integer("maxWaiting", 256, 0, 100_000),
                    node.choice("queuePolicy", QueuePolicy.class, QueuePolicy.FAIR),
                    node.integer("runTimeoutMillis", 600_000, 100, 3_600_000),
                    node.integer("reportIntervalMillis", 500, 50, 60_000));
            node.end();
            return upstream;
        }
    }

    public SideSettings {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(listen, "listen");
        Objects.requireNonNull(platform, "platform");
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(upstream, "upstream");
    }

    /** Reads the settings from the root of their file. */
    public static SideSettings read(SettingsNode node) {
        return new SideSettings(
                VmSettings.read(node.object("vm")),
                Listen.read(node.object("listen")),
                PlatformSettings.read(node.object("platform")),
                ControlSettings.read(node.object("control")),
                UpstreamSettings.read(node.object("upstream")));
    }
}
