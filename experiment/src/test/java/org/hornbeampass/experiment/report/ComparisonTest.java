package org.hornbeampass.experiment.report;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.experiment.load.Latencies;
import org.hornbeampass.experiment.verdict.Measures;
import org.hornbeampass.state.Json;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Tests {@link Comparison} on two results, one of them read back from its file's text. */
class ComparisonTest {
    private static Result result(long served, Map<String, Long> refusals, double p99) {
        return new Result(
                "n",
                1,
                true,
                0,
                new Measures(100, served, 0, 0, Map.of(), refusals, 1),
                Map.of("first_token", new Latencies.Summary(served, 1, 2, p99, 4)),
                List.of(),
                List.of());
    }

    private static Comparison.Row row(Comparison comparison, String name) {
        return comparison.rows().stream()
                .filter(r -> r.name().equals(name))
                .findAny()
                .orElseThrow();
    }

    @Test
    void bothRawFiguresAndTheirRatio_areShown() {
        Result before = result(50, Map.of("overloaded", 50L), 10);
        Result readBack = Json.decode(Json.encode(before), Result.class).get();

        Comparison comparison = Comparison.of(readBack, result(100, Map.of(), 5));

        assertThat(row(comparison, "served").ratio()).contains(2.0);
        assertThat(row(comparison, "first_token.p99_ms").before()).contains(10.0);
        assertThat(row(comparison, "first_token.p99_ms").ratio()).contains(0.5);
    }

    @Test
    void figureThatOnlyOneHas_hasNoRatio() {
        Comparison comparison =
                Comparison.of(result(50, Map.of("overloaded", 50L), 10), result(100, Map.of(), 5));

        Comparison.Row row = row(comparison, "refused.overloaded");
        assertThat(row.before()).contains(50.0);
        assertThat(row.after()).isEqualTo(Optional.empty());
        assertThat(row.ratio()).isEqualTo(Optional.empty());
    }
}
