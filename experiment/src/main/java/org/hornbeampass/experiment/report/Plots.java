package org.hornbeampass.experiment.report;

import org.hornbeampass.experiment.run.Outcome;
import org.hornbeampass.experiment.verdict.Observation.BudgetSample;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plots an experiment over time into PNG files.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class Plots {
    static final List<String> NAMES = List.of("requests", "first-token", "budgets");

    private static final int WIDTH = 900;
    private static final int HEIGHT = 360;
    private static final double MS_PER_SECOND = 1_000;

    private Plots() {}

    static void write(Path directory, Outcome outcome) throws IOException {
        TimeSeries series = TimeSeries.of(outcome);
        XYChart requests = chart("Requests by the second in which they ended", "requests");
        add(requests, "served", series.seconds(), series.served());
        add(requests, "refused or cut", series.seconds(), series.refused());
        save(requests, directory, "requests");
        XYChart first = chart("Time to the first token, 99th percentile", "ms");
        add(first, "p99", series.seconds(), series.firstTokenP99Ms());
        save(first, directory, "first-token");
        save(budgets(outcome), directory, "budgets");
    }

    private static XYChart budgets(Outcome outcome) {
        XYChart chart = chart("Share of each budget that is drawn", "drawn / paid");
        Map<String, List<BudgetSample>> byName = new TreeMap<>();
        for (BudgetSample sample : outcome.seen().platform().budgets()) {
            byName.computeIfAbsent(sample.organisation(), n -> new ArrayList<>()).add(sample);
        }
        byName.forEach(
                (name, samples) ->
                        add(
                                chart,
                                name,
                                samples.stream()
                                        .map(s -> (s.atMs() - outcome.startMs()) / MS_PER_SECOND)
                                        .toList(),
                                samples.stream()
                                        .map(s -> (double) s.drawn() / Math.max(1, s.paid()))
                                        .toList()));
        return chart;
    }

    private static XYChart chart(String title, String unit) {
        return new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("seconds from the start")
                .yAxisTitle(unit)
                .build();
    }

    private static void add(XYChart chart, String name, List<Double> x, List<Double> y) {
        if (!x.isEmpty()) {
            chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
        }
    }

    private static void save(XYChart chart, Path directory, String name) throws IOException {
        BitmapEncoder.saveBitmap(
                chart, directory.resolve(name + ".png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
