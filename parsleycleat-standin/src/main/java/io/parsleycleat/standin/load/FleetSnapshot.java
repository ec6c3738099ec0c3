package io.parsleycleat.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.parsleycleat.standin.fleet.DaemonNode;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

/** Counters of a fleet's processes at one time. Immutable. */
record FleetSnapshot(
        Duration entryCpu,
        Duration sideCpu,
        List<Long> fillCounts,
        List<Long> adapterCounts,
        long cachedPromptTokens,
        long promptTokens) {
    FleetSnapshot {
        fillCounts = List.copyOf(fillCounts);
        adapterCounts = List.copyOf(adapterCounts);
    }

    /** Reads the counters. */
    static FleetSnapshot take(LoadFleet fleet) {
        List<JsonNode> statistics =
                fleet.engines().stream().map(e -> e.read("statistics")).toList();
        return new FleetSnapshot(
                cpu(fleet.entries()),
                cpu(fleet.sides()),
                sums(statistics, "fillCounts"),
                sums(statistics, "adapterCounts"),
                statistics.stream()
                        .mapToLong(s -> s.path("cachedPromptTokens").asLong())
                        .sum(),
                statistics.stream()
                        .mapToLong(s -> s.path("promptTokens").asLong())
                        .sum());
    }

    /** Returns what was counted since an earlier snapshot. */
    FleetSnapshot since(FleetSnapshot earlier) {
        return new FleetSnapshot(
                entryCpu.minus(earlier.entryCpu),
                sideCpu.minus(earlier.sideCpu),
                differences(fillCounts, earlier.fillCounts),
                differences(adapterCounts, earlier.adapterCounts),
                cachedPromptTokens - earlier.cachedPromptTokens,
                promptTokens - earlier.promptTokens);
    }

    private static Duration cpu(List<DaemonNode> daemons) {
        return daemons.stream().map(d -> d.process().cpuTime()).reduce(Duration.ZERO, Duration::plus);
    }

    private static List<Long> sums(List<JsonNode> statistics, String field) {
        int size = statistics.get(0).path(field).size();
        return IntStream.range(0, size)
                .mapToObj(i -> statistics.stream()
                        .mapToLong(s -> s.path(field).path(i).asLong())
                        .sum())
                .toList();
    }

    private static List<Long> differences(List<Long> now, List<Long> before) {
        return IntStream.range(0, now.size())
                .mapToObj(i -> now.get(i) - before.get(i))
                .toList();
    }
}
