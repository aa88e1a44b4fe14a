package org.hornbeampass.experiment.budget;

import org.hornbeampass.coordination.budget.GrantPolicy;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Compares grant policies under faults on the same seeded demand; a command. */
public final class BudgetExperiment {
    private static final long SEED = 20261202;

    private BudgetExperiment() {}

    /**
     * Writes {@code budgets.csv}, {@code budgets.md}, {@code budgets-slopes.csv} and {@code
     * budgets.png}.
     *
     * @param args the directory to write to
     */
    public static void main(String[] args) throws IOException {
        Path out = Path.of(args[0]);
        Files.createDirectories(out);
        List<BudgetRunResult> results = new ArrayList<>();
        for (Deployment deployment : Deployment.values()) {
            for (Fault fault : Fault.values()) {
                for (GrantPolicy policy : GrantPolicy.values()) {
                    BudgetRunResult result =
                            new BudgetRunner(deployment, fault, policy, 8, 10, 1, SEED).run();
                    System.out.println(result.csv());
                    results.add(result);
                }
            }
        }
        List<String> lines = new ArrayList<>(List.of(BudgetRunResult.HEADER));
        results.forEach(r -> lines.add(r.csv()));
        Files.write(out.resolve("budgets.csv"), lines);
        Files.write(out.resolve("budgets.md"), markdown(lines));
        plot(results, out.resolve("budgets.png"));
        Files.write(out.resolve("budgets-slopes.csv"), slopes());
    }

    private static List<String> markdown(List<String> csv) {
        List<String> lines = new ArrayList<>();
        for (String line : csv) {
            lines.add("| " + line.replace(",", " | ") + " |");
        }
        lines.add(1, "|" + "---|".repeat(csv.get(0).split(",", -1).length));
        return lines;
    }

    private static void plot(List<BudgetRunResult> results, Path file) throws IOException {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(1_000)
                        .height(500)
                        .title("Requests refused while enough was free somewhere")
                        .xAxisTitle("deployment and fault")
                        .yAxisTitle("percent of requests")
                        .build();
        for (GrantPolicy policy : GrantPolicy.values()) {
            List<BudgetRunResult> mine =
                    results.stream().filter(r -> r.policy() == policy).toList();
            chart.addSeries(
                    policy.name(),
                    mine.stream().map(r -> r.deployment() + " " + r.fault()).toList(),
                    mine.stream().map(r -> 100.0 * r.falseRefused() / r.requests()).toList());
        }
        chart.getStyler().setXAxisLabelRotation(30);
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /** Measures platform calls against VMs, organisations and budgets, with no fault. */
    private static List<String> slopes() {
        List<String> lines =
                new ArrayList<>(List.of("vms,organisations,budgets_each,writes_per_s,reads_per_s"));
        for (int[] size :
                Arrays.asList(
                        new int[] {8, 10, 1},
                        new int[] {16, 10, 1},
                        new int[] {32, 10, 1},
                        new int[] {8, 20, 1},
                        new int[] {8, 40, 1},
                        new int[] {8, 10, 4},
                        new int[] {8, 10, 16})) {
            BudgetRunResult result =
                    new BudgetRunner(
                                    Deployment.FLIGHTS,
                                    Fault.NONE,
                                    GrantPolicy.DEMAND_HORIZON,
                                    size[0],
                                    size[1],
                                    size[2],
                                    SEED)
                            .run();
            String line =
                    String.format(
                            Locale.ROOT,
                            "%d,%d,%d,%.2f,%.2f",
                            size[0],
                            size[1],
                            size[2],
                            result.writesPerSecond(),
                            result.readsPerSecond());
            System.out.println(line);
            lines.add(line);
        }
        return lines;
    }
}
