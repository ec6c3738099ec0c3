package io.parsleycleat.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.parsleycleat.standin.http.Json;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/** Writes a run's figures as a page with plots. Stateless. */
final class HtmlReport {
    private static final int WIDTH = 640;
    private static final int HEIGHT = 220;
    private static final int MARGIN = 40;
    private static final double TARGET_FIRST_TOKEN_MILLIS = 400;

    private HtmlReport() {}

    /** Returns the page. */
    static String write(RunReport report, List<Long> firstTokenNanos) {
        RunReport.Setup setup = report.setup();
        String title = "%s, seed %d, routing %s, queue %s"
                .formatted(setup.deployment(), setup.seed(), setup.routingPolicy(), setup.queuePolicy());
        return """
                <!DOCTYPE html>
                <html lang="en"><head><meta charset="utf-8"><title>%s</title>
                <style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}
                td,th{border:1px solid #bbb;padding:2px 8px;text-align:left}svg{background:#fafafa}</style></head>
                <body><h1>%s</h1>
                <h2>First token: share of completions by milliseconds</h2>%s
                <h2>Batch: steps by number of runs</h2>%s
                <h2>Accounts: served part of the fair part</h2>%s
                %s</body></html>
                """
                .formatted(
                        title,
                        title,
                        distribution(firstTokenNanos),
                        bars(report.batch().fillCounts()),
                        accountBars(report.accounts()),
                        tables(Json.of(report)));
    }

    // Plots

    /** Returns the cumulated distribution of times on a logarithmic axis from 1 ms to 100 s, with the target marked. */
    private static String distribution(List<Long> nanos) {
        List<Double> millis =
                nanos.stream().map(n -> Math.max(1, n / 1e6)).sorted().toList();
        String points = IntStream.range(0, millis.size())
                .mapToObj(i -> point(logarithmicX(millis.get(i)), (i + 1.0) / millis.size()))
                .collect(Collectors.joining(" "));
        String ticks = Stream.of(1, 10, 100, 1_000, 10_000, 100_000)
                .map(t -> "<text x=\"%s\" y=\"%d\" font-size=\"11\">%d</text>"
                        .formatted(number(logarithmicX(t)), HEIGHT - MARGIN / 2, t))
                .collect(Collectors.joining());
        String target = "<line x1=\"%1$s\" x2=\"%1$s\" y1=\"0\" y2=\"%2$d\" stroke=\"#c33\" stroke-dasharray=\"4\"/>"
                .formatted(number(logarithmicX(TARGET_FIRST_TOKEN_MILLIS)), HEIGHT - MARGIN);
        return svg("<polyline fill=\"none\" stroke=\"#246\" points=\"%s\"/>%s%s".formatted(points, ticks, target));
    }

    private static String bars(List<Long> counts) {
        double highest = counts.stream().mapToLong(Long::longValue).max().orElse(1);
        double width = (double) (WIDTH - 2 * MARGIN) / Math.max(1, counts.size());
        return svg(IntStream.range(0, counts.size())
                .mapToObj(i -> bar(i, width, counts.get(i) / Math.max(1, highest), Integer.toString(i)))
                .collect(Collectors.joining()));
    }

    private static String accountBars(List<RunReport.AccountFigures> accounts) {
        double width = (double) (WIDTH - 2 * MARGIN) / Math.max(1, accounts.size());
        return svg(IntStream.range(0, accounts.size())
                .mapToObj(i -> {
                    RunReport.AccountFigures account = accounts.get(i);
                    double share = account.fairPart() > 0 ? account.served() / account.fairPart() : 0;
                    return bar(i, width, Math.min(1, share), account.id());
                })
                .collect(Collectors.joining()));
    }

    private static String bar(int index, double width, double share, String label) {
        double height = share * (HEIGHT - MARGIN);
        double x = MARGIN + index * width;
        return ("<rect x=\"%s\" y=\"%s\" width=\"%s\" height=\"%s\" fill=\"#468\"/>"
                        + "<text x=\"%s\" y=\"%d\" font-size=\"11\">%s</text>")
                .formatted(
                        number(x),
                        number(HEIGHT - MARGIN - height),
                        number(width * 0.8),
                        number(height),
                        number(x),
                        HEIGHT - MARGIN / 2,
                        label);
    }

    private static String svg(String content) {
        return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">%s</svg>"
                .formatted(WIDTH, HEIGHT, content);
    }

    private static String point(double x, double share) {
        return number(x) + "," + number((HEIGHT - MARGIN) * (1 - share));
    }

    private static double logarithmicX(double millis) {
        return MARGIN + Math.log10(millis) / 5 * (WIDTH - 2 * MARGIN);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    // Tables

    private static String tables(JsonNode report) {
        return report.properties().stream()
                .map(e -> "<h2>" + e.getKey() + "</h2>" + table(e.getValue()))
                .collect(Collectors.joining());
    }

    private static String table(JsonNode node) {
        if (node.isArray() && !node.isEmpty() && node.path(0).isObject()) {
            return StreamSupport.stream(node.spliterator(), false)
                    .map(HtmlReport::table)
                    .collect(Collectors.joining());
        }
        if (!node.isObject()) {
            return node.isTextual() ? node.asText() : node.toString();
        }
        return node.properties().stream()
                .map(e -> "<tr><th>" + e.getKey() + "</th><td>" + table(e.getValue()) + "</td></tr>")
                .collect(Collectors.joining("", "<table>", "</table>"));
    }
}
