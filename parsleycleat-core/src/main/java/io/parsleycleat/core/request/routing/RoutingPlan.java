package io.parsleycleat.core.request.routing;

import io.parsleycleat.core.connection.platform.Vm;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Whom one request is offered to, and by what measure the answers are compared.
 *
 * <p>Created by the selector for each request; immutable.
 *
 * @param name the word that explanations use
 * @param ordered all sides that may take the request, in the order in which they are probed
 * @param first sides that are probed at first
 * @param max sides that are probed at most while some answer
 * @param cost measure of an answer; the least is chosen, and among equals the first in order
 * @param spillMillis time until the start above which further sides are probed
 */
record RoutingPlan(
        String name, List<Vm> ordered, int first, int max, ToDoubleFunction<Candidate> cost, long spillMillis) {}
