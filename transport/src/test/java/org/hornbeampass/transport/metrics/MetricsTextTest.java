package org.hornbeampass.transport.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

import org.junit.jupiter.api.Test;

import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Tests that {@link MetricsText} renders a registry as the expected text. */
class MetricsTextTest {
    private final MetricRegistry mRegistry = new MetricRegistry();

    @Test
    void counters_withLabels_shareOneTypeLine() {
        mRegistry.counter(MetricLabels.name("requests", Map.of("organisation", "b\"c"))).inc(2);
        mRegistry.counter(MetricLabels.name("requests", Map.of("organisation", "a"))).inc();

        assertThat(MetricsText.render(mRegistry))
                .isEqualTo(
                        """
                        # TYPE hornbeampass_requests_total counter
                        hornbeampass_requests_total{organisation="a"} 1
                        hornbeampass_requests_total{organisation="b\\"c"} 2
                        """);
    }

    @Test
    void gauges_thatAreNumbers_areWritten() {
        mRegistry.register("open.streams", (Gauge<Integer>) () -> 7);
        mRegistry.register("share", (Gauge<Double>) () -> 0.25);
        mRegistry.register("name", (Gauge<String>) () -> "text");

        assertThat(MetricsText.render(mRegistry))
                .isEqualTo(
                        """
                        # TYPE hornbeampass_open_streams gauge
                        hornbeampass_open_streams 7
                        # TYPE hornbeampass_share gauge
                        hornbeampass_share 0.25
                        """);
    }

    @Test
    void metricWithManySeries_isWrittenAfterThoseWithFew() {
        for (int i = 0; i < 24; i++) {
            mRegistry.counter(MetricLabels.name("budget", Map.of("organisation", "o-" + i))).inc();
        }
        mRegistry.register("store_lost", (Gauge<Integer>) () -> 1);

        assertThat(MetricsText.render(mRegistry))
                .startsWith("# TYPE hornbeampass_store_lost gauge\nhornbeampass_store_lost 1\n");
    }

    @Test
    void timers_areInSeconds() {
        mRegistry.timer("wait").update(250, TimeUnit.MILLISECONDS);

        assertThat(MetricsText.render(mRegistry))
                .startsWith("# TYPE hornbeampass_wait_seconds summary\n")
                .contains("hornbeampass_wait_seconds{quantile=\"0.99\"} 0.25\n")
                .endsWith("hornbeampass_wait_seconds_count 1\n");
    }

    @Test
    void histograms_keepTheirUnit() {
        mRegistry.histogram("tokens").update(40);

        assertThat(MetricsText.render(mRegistry))
                .contains("hornbeampass_tokens{quantile=\"0.5\"} 40\n")
                .contains("hornbeampass_tokens_count 1\n");
    }
}
