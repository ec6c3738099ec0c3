package io.parsleycleat.core.process.entry;

import io.parsleycleat.core.connection.caller.CallerLimits;
import io.parsleycleat.core.process.common.ControlSettings;
import io.parsleycleat.core.process.common.PlatformSettings;
import io.parsleycleat.core.process.common.VmSettings;
import io.parsleycleat.core.process.settings.SettingsNode;
import io.parsleycleat.core.request.routing.RoutingPolicy;
import io.parsleycleat.core.request.routing.RoutingSettings;
import java.net.InetSocketAddress;
import java.util.Objects;

/** The checked settings of an entry. Immutable and safe to share. */
public record EntrySettings(
        VmSettings vm,
        Listen listen,
        PlatformSettings platform,
        ControlSettings control,
        CallerLimits callers,
        Requests requests,
        String firstOperatorKeyHash) {
    private static final int MAX_PROBES = 16;
    private static final double MAX_LOAD_WEIGHT = 100;
    private static final String HASH_FORM = "[0-9a-f]{64}";

    /** The addresses that an entry listens on. */
    public record Listen(
            InetSocketAddress callers, InetSocketAddress peers, InetSocketAddress operators, InetSocketAddress admin) {
        static Listen read(SettingsNode node) {
            Listen listen = new Listen(
                    node.address("callers"), node.address("peers"), node.address("operators"), node.address("admin"));
            node.end();
            return listen;
        }
    }

    /**
     * How requests are served.
     *
     * @param startDeadlineMillis time in which a request must start to run
     * @param maxAnswerMillis time in which an answer must be whole
     * @param maxTokens most tokens that a completion may ask for
     * @param freeRequests requests of the free tier that are served at once
     * @param idempotencyWindowSeconds how long idempotency keys are remembered
     * @param routing how upstreams are chosen
     */
    public record Requests(
            int startDeadlineMillis,
            int maxAnswerMillis,
            int maxTokens,
            int freeRequests,
            int idempotencyWindowSeconds,
            RoutingSettings routing) {
        static Requests read(SettingsNode node) {
            Requests requests = new Requests(
                    node.integer("startDeadlineMillis", 30_000, 100, 600_000),
                    node.integer("maxAnswerMillis", 600_000, 1_000, 3_600_000),
                    node.integer("maxTokens", 4_096, 1, 1_000_000),
                    node.integer("freeRequests", 64, 1, 100_000),
                    node.integer("idempotencyWindowSeconds", 3_600, 10, 604_800),
                    readRouting(node));
            node.end();
            return requests;
        }

        private static RoutingSettings readRouting(SettingsNode node) {
            RoutingSettings defaults = RoutingSettings.DEFAULT;
            RoutingPolicy policy = node.choice("routingPolicy", RoutingPolicy.class, defaults.policy());
            int probes = node.integer("routingProbes", defaults.probes(), 1, MAX_PROBES);
            int maxProbes = node.integer("routingMaxProbes", defaults.maxProbes(), 1, MAX_PROBES);
            return defaults.withPolicy(policy)
                    .withProbes(probes, Math.max(probes, maxProbes))
                    .withLoadWeight(node.number("routingLoadWeight", defaults.loadWeight(), 0, MAX_LOAD_WEIGHT));
        }
    }

    public EntrySettings {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(listen, "listen");
        Objects.requireNonNull(platform, "platform");
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(requests, "requests");
        Objects.requireNonNull(firstOperatorKeyHash, "firstOperatorKeyHash");
    }

    /** Reads the settings from the root of their file. */
    public static EntrySettings read(SettingsNode node) {
        return new EntrySettings(
                VmSettings.read(node.object("vm")),
                Listen.read(node.object("listen")),
                PlatformSettings.read(node.object("platform")),
                ControlSettings.read(node.object("control")),
                readCallers(node.object("callers")),
                Requests.read(node.object("requests")),
                node.matching("firstOperatorKeyHash", HASH_FORM, "64 hexadecimal digits, SHA-256 of the secret"));
    }

    private static CallerLimits readCallers(SettingsNode node) {
        CallerLimits limits = new CallerLimits(
                node.integer("maxHeaderBytes", 16_384, 1_024, 1_048_576),
                node.integer("maxBodyBytes", 1_048_576, 1_024, 8_388_608),
                node.integer("maxConnections", 4_096, 1, 1_000_000),
                node.millis("requestReadTimeoutMillis", 10_000, 100, 600_000),
                node.millis("idleTimeoutMillis", 60_000, 100, 3_600_000));
        node.end();
        return limits;
    }
}
