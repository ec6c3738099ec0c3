package io.parsleycleat.standin.load;

import java.util.Map;
import java.util.TreeMap;

/** Divides what was served between accounts as a fair scheduler would. Stateless. */
final class FairShare {
    private FairShare() {}

    /**
     * Returns each account's part of a total under weighted max-min fairness: nobody gets more than it asks for, and
     * what it leaves over goes to the others by weight.
     */
    static Map<String, Double> divide(double total, Map<String, Double> demands, Map<String, Integer> weights) {
        Map<String, Double> parts = new TreeMap<>();
        Map<String, Double> open = new TreeMap<>(demands);
        double left = total;
        boolean satisfied = true;
        while (!open.isEmpty() && satisfied) {
            double unit = left
                    / open.keySet().stream()
                            .mapToInt(a -> weights.getOrDefault(a, 1))
                            .sum();
            Map<String, Double> small = new TreeMap<>(open);
            small.entrySet().removeIf(e -> e.getValue() > unit * weights.getOrDefault(e.getKey(), 1));
            satisfied = !small.isEmpty();
            parts.putAll(small);
            left -= small.values().stream().mapToDouble(Double::doubleValue).sum();
            open.keySet().removeAll(small.keySet());
            if (!satisfied) {
                open.keySet().forEach(a -> parts.put(a, unit * weights.getOrDefault(a, 1)));
            }
        }
        return parts;
    }
}
