package org.hornbeampass.coordination.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.service.CallerLimits;
import org.hornbeampass.state.service.FleetConfig;
import org.hornbeampass.state.service.PrepaidOrganisation;
import org.hornbeampass.state.service.Route;
import org.hornbeampass.state.service.RouteKind;
import org.hornbeampass.state.service.ServiceSpec;
import org.junit.jupiter.api.Test;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

/** Tests look-ups by host, path and key, and the weighted split of a route between services. */
class RouteTableTest {
    private static final RouteTable TABLE =
            new RouteTable(
                    new FleetConfig(
                            1,
                            List.of(
                                    route("short", "/a/", List.of(new Route.Target("one", 1))),
                                    route(
                                            "long",
                                            "/a/b/",
                                            List.of(
                                                    new Route.Target("one", 90),
                                                    new Route.Target("two", 10)))),
                            List.of(service("one"), service("two")),
                            List.of(
                                    new PrepaidOrganisation(
                                            "org", List.of("k1", "k2"), 0, OptionalLong.empty())),
                            CallerLimits.DEFAULT));

    private static Route route(String name, String prefix, List<Route.Target> targets) {
        return new Route(
                name,
                "flights.example",
                prefix,
                RouteKind.IDEMPOTENT,
                1_000,
                100,
                0,
                targets,
                2,
                false,
                false,
                0);
    }

    private static ServiceSpec service(String name) {
        return new ServiceSpec(name, 100, Optional.empty());
    }

    private static Optional<String> found(String host, String path) {
        return TABLE.route(host, path).map(Route::name);
    }

    @Test
    void longestPathPrefixOfTheHost_isFound() {
        assertThat(found("flights.example", "/a/b/c")).contains("long");
        assertThat(found("FLIGHTS.example:80", "/a/x")).contains("short");
        assertThat(found("flights.example", "/a")).isEmpty();
        assertThat(found("other.example", "/a/b/c")).isEmpty();
    }

    @Test
    void keys_identifyTheirOrganisation() {
        assertThat(TABLE.organisationOf("k2")).map(PrepaidOrganisation::name).contains("org");
        assertThat(TABLE.organisationOf("k3")).isEmpty();
        assertThat(TABLE.checksKeys()).isTrue();
    }

    @Test
    void split_followsTheWeights() {
        Route route = TABLE.route("flights.example", "/a/b/").orElseThrow();
        Random random = new Random(1);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            counts.merge(TABLE.pickService(route, random).orElseThrow().name(), 1, Integer::sum);
        }
        assertThat(counts.get("two")).isBetween(900, 1_100);
    }
}
