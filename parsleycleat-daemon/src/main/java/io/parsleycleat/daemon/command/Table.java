package io.parsleycleat.daemon.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import java.util.stream.IntStream;

/**
 * What a command shows: named columns and rows, printed for people or as JSON.
 *
 * <p>Created by each command; immutable.
 */
record Table(List<String> columns, List<List<String>> rows) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String GAP = "  ";

    Table {
        columns = List.copyOf(columns);
        rows = List.copyOf(rows);
    }

    /** Returns a table with one row. */
    static Table of(List<String> columns, List<String> row) {
        return new Table(columns, List.of(row));
    }

    /** Prints the table with aligned columns. */
    void print(PrintStream out) {
        List<Integer> widths = IntStream.range(0, columns.size())
                .map(c -> Math.max(
                        columns.get(c).length(),
                        rows.stream().mapToInt(r -> r.get(c).length()).max().orElse(0)))
                .boxed()
                .toList();
        out.println(line(columns, widths));
        rows.forEach(row -> out.println(line(row, widths)));
    }

    /** Prints the rows as an array of JSON objects. */
    void printJson(PrintStream out) {
        ArrayNode array = MAPPER.createArrayNode();
        rows.forEach(row -> {
            ObjectNode node = array.addObject();
            IntStream.range(0, columns.size()).forEach(c -> node.put(columns.get(c), row.get(c)));
        });
        out.println(array.toPrettyString());
    }

    private static String line(List<String> row, List<Integer> widths) {
        return IntStream.range(0, row.size())
                .mapToObj(
                        c -> row.get(c) + " ".repeat(widths.get(c) - row.get(c).length()))
                .reduce((left, right) -> left + GAP + right)
                .orElse("")
                .stripTrailing();
    }
}
