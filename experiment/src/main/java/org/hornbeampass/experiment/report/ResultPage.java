package org.hornbeampass.experiment.report;

import org.hornbeampass.experiment.load.Latencies;
import org.hornbeampass.experiment.run.Outcome;
import org.hornbeampass.experiment.verdict.Finding;
import org.hornbeampass.experiment.verdict.VerdictRule;
import org.hornbeampass.experiment.verdict.VerdictRules;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The page of an experiment's result, in HTML.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class ResultPage {
    private static final String STYLE =
            "body{font-family:sans-serif;max-width:64em;margin:2em auto}"
                    + "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
                    + "td:first-child,th:first-child{text-align:left}"
                    + ".bad{color:#a00}.good{color:#070}";

    private ResultPage() {}

    static String html(Outcome outcome, Result result, Optional<Comparison> comparison) {
        StringBuilder page = new StringBuilder(10_000);
        String title = "Experiment " + escape(result.experiment());
        page.append("<!doctype html><html><head><meta charset=\"utf-8\"><title>")
                .append(title)
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>")
                .append(title)
                .append("</h1><p class=\"")
                .append(result.passes() ? "good\">The verdict passes" : "bad\">The verdict fails")
                .append(". Seed ")
                .append(result.seed())
                .append(".</p>");
        rules(page, result);
        figures(page, result);
        latencies(page, result);
        for (String name : Plots.NAMES) {
            page.append("<p><img src=\"").append(name).append(".png\" alt=\"");
            page.append(name).append("\"></p>");
        }
        events(page, outcome);
        comparison.ifPresent(c -> compared(page, c));
        return page.append("</body></html>\n").toString();
    }

    private static void rules(StringBuilder page, Result result) {
        page.append("<h2>Rules</h2><table><tr><th>rule</th><th>breaches</th></tr>");
        for (VerdictRule rule : VerdictRules.all()) {
            long breaches =
                    result.findings().stream().filter(f -> f.rule().equals(rule.name())).count();
            row(page, rule.name(), Long.toString(breaches));
        }
        page.append("</table>");
        if (!result.findings().isEmpty()) {
            page.append("<ul>");
            for (Finding finding : result.findings()) {
                String line = finding.rule() + ": " + finding.subject() + " " + finding.detail();
                page.append("<li class=\"bad\">").append(escape(line)).append("</li>");
            }
            page.append("</ul>");
        }
    }

    private static void figures(StringBuilder page, Result result) {
        page.append("<h2>Measures</h2><table><tr><th>figure</th><th>value</th></tr>");
        result.figures()
                .forEach(
                        (name, value) -> {
                            if (!name.endsWith("_ms")) {
                                row(page, name, number(value));
                            }
                        });
        page.append("</table>");
    }

    private static void latencies(StringBuilder page, Result result) {
        page.append("<h2>Latencies from when each request was due, in ms</h2><table>");
        page.append("<tr><th></th><th>count</th><th>p50</th><th>p95</th><th>p99</th>");
        page.append("<th>max</th></tr>");
        result.latencies().forEach((name, l) -> row(page, name, cells(l)));
        page.append("</table>");
    }

    private static String[] cells(Latencies.Summary l) {
        return new String[] {
            Long.toString(l.count()),
            number(l.p50()),
            number(l.p95()),
            number(l.p99()),
            number(l.max())
        };
    }

    private static void events(StringBuilder page, Outcome outcome) {
        page.append("<h2>Timeline</h2><table><tr><th>what</th><th>seconds</th></tr>");
        for (Outcome.Event event : outcome.events()) {
            row(page, event.what(), number((event.atMs() - outcome.startMs()) / 1_000.0));
        }
        page.append("</table>");
    }

    private static void compared(StringBuilder page, Comparison comparison) {
        page.append("<h2>Against the earlier result</h2><pre>");
        List<String> lines = comparison.lines();
        page.append(escape(String.join("\n", lines))).append("</pre>");
    }

    private static void row(StringBuilder page, String name, String... cells) {
        page.append("<tr><td>").append(escape(name)).append("</td>");
        for (String cell : cells) {
            page.append("<td>").append(escape(cell)).append("</td>");
        }
        page.append("</tr>");
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, value == Math.rint(value) ? "%.0f" : "%.2f", value);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
