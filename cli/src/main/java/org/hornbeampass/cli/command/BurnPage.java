package org.hornbeampass.cli.command;

import org.hornbeampass.coordination.slo.BurnPoint;
import org.hornbeampass.coordination.slo.BurnRates;
import org.hornbeampass.coordination.slo.BurnReport;
import org.hornbeampass.coordination.slo.BurnWindow;
import org.hornbeampass.coordination.slo.Objective;
import org.hornbeampass.coordination.slo.ScopeBurn;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * The burn report as one HTML page with plots inside it.
 *
 * <p>Immutable; for use by one thread.
 */
final class BurnPage {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 320;
    private static final double MS_PER_HOUR = 3_600_000;

    private final BurnSummary mSummary;
    private final BurnReport mReport;
    private final long mNowMs;

    BurnPage(BurnSummary summary, BurnReport report, long nowMs) {
        mSummary = summary;
        mReport = report;
        mNowMs = nowMs;
    }

    /** Returns the page. */
    String html() throws IOException {
        return "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                + "<title>hornbeampass: service-level burn</title></head><body>\n"
                + "<h1>Service-level burn</h1>\n<p>At "
                + Instant.ofEpochMilli(mNowMs)
                + ", over "
                + escaped(String.join(", ", mSummary.routers()))
                + ", counted since "
                + Instant.ofEpochMilli(mSummary.sinceMs())
                + ".</p>\n<pre>"
                + escaped(mSummary.table())
                + "</pre>\n"
                + plot("Burn rate by minute, all together, last hour", BurnWindow.H1, 60_000)
                + plot(
                        "Burn rate by half hour, all together, last 3 days",
                        BurnWindow.D3,
                        1_800_000)
                + "<p>docs/operations/burn.md says how to read this page.</p>\n</body></html>\n";
    }

    private String plot(String title, BurnWindow window, long widthMs) throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(title)
                        .xAxisTitle("hours from now")
                        .yAxisTitle("burn rate")
                        .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setXAxisMin(-window.lengthMs() / MS_PER_HOUR);
        chart.getStyler().setXAxisMax(0.0);
        chart.getStyler().setXAxisDecimalPattern("0.0");
        boolean any = false;
        for (Objective objective : Objective.values()) {
            any |= series(chart, objective, window, widthMs);
        }
        if (!any) {
            return "<p>" + title + ": nothing was counted.</p>\n";
        }
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        return "<p><img alt=\""
                + title
                + "\" src=\"data:image/png;base64,"
                + Base64.getEncoder().encodeToString(png)
                + "\"></p>\n";
    }

    private boolean series(XYChart chart, Objective objective, BurnWindow window, long widthMs) {
        List<Double> hours = new ArrayList<>();
        List<Double> rates = new ArrayList<>();
        double target = target(objective);
        for (BurnPoint point : mReport.points()) {
            boolean shown =
                    point.objective() == objective
                            && point.widthMs() == widthMs
                            && point.startMs() > mNowMs - window.lengthMs();
            if (shown) {
                hours.add((point.startMs() - mNowMs) / MS_PER_HOUR);
                rates.add(BurnRates.rate(point.counts(), target));
            }
        }
        if (hours.isEmpty()) {
            return false;
        }
        chart.addSeries(objective.label(), hours, rates).setMarker(SeriesMarkers.CIRCLE);
        return true;
    }

    private double target(Objective objective) {
        Optional<ScopeBurn> all =
                mReport.scopes().stream()
                        .filter(s -> s.organisation().isEmpty() && s.objective() == objective)
                        .findFirst();
        return all.map(s -> s.terms().target()).orElse(0.0);
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
