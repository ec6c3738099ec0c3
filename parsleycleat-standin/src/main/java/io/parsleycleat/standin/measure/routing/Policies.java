package io.parsleycleat.standin.measure.routing;

import io.parsleycleat.core.process.slots.SlotTableSettings;
import io.parsleycleat.core.request.queue.QueuePolicy;
import io.parsleycleat.core.request.queue.QueueSettings;
import io.parsleycleat.core.request.routing.RoutingPolicy;
import io.parsleycleat.core.request.routing.RoutingSettings;
import java.util.List;

/** The settings of one run. */
record Policies(RoutingSettings routing, QueueSettings queue, SlotTableSettings slots) {
    static Policies of(RoutingPolicy routing, QueuePolicy queue) {
        return new Policies(
                RoutingSettings.DEFAULT.withPolicy(routing),
                QueueSettings.DEFAULT.withPolicy(queue),
                SlotTableSettings.DEFAULT);
    }

    /** Returns the chosen policies first, and then each that they are compared with. */
    static List<Policies> compared() {
        return List.of(
                of(RoutingPolicy.PROBING, QueuePolicy.FAIR),
                of(RoutingPolicy.RANDOM, QueuePolicy.FAIR),
                of(RoutingPolicy.LEAST_LOADED, QueuePolicy.FAIR),
                of(RoutingPolicy.RENDEZVOUS, QueuePolicy.FAIR),
                of(RoutingPolicy.PROBING, QueuePolicy.FIFO));
    }
}
