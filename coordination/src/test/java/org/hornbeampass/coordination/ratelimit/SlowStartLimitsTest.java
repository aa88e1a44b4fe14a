package org.hornbeampass.coordination.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.state.service.ServiceSpec.SlowStart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Guards against fleets that send an upstream in its slow start more requests in a second than it
 * stands, or that leave it unused while other upstreams are busy. In virtual time, with failures of
 * VMs and of the network.
 */
class SlowStartLimitsTest {
    private static final String COLD = "cold";
    private static final int UPSTREAMS = 5;
    private static final long KNOWN_WITHIN_MS = 300;
    private static final long SETTLE_MS = 2_000;
    private static final long MEASURED_MS = 10_000;
    private static final double MEASURED_REQUESTS = 40;
    private static final long NOTICED_WITHIN_MS = 2_000;
    private static final double USED_SHARE = 0.9;
    private static final double LOSS_SHARE = 0.05;

    private static RateLimitFleet fleet(int vms, double perSecond, long seed, Issuing issuing) {
        return new RateLimitFleet(
                vms, UPSTREAMS, seed, Optional.of(new SlowStart(600_000, perSecond)), issuing);
    }

    private static RateLimitFleet fleet(int vms, double perSecond, long seed) {
        RateLimitFleet fleet = fleet(vms, perSecond, seed, Issuing.FIXED_VMS);
        fleet.load(load(perSecond), SETTLE_MS);
        fleet.addColdUpstream(COLD, KNOWN_WITHIN_MS);
        return fleet;
    }

    /** A load under which each upstream would get some times the rate of a cold one. */
    private static double load(double perSecond) {
        return Math.max(60, 3 * (UPSTREAMS + 1) * perSecond);
    }

    private static void assertWithinBound(RateLimitFleet fleet, double perSecond) {
        SlowStartBounds bounds = RateLimitFleet.SLOW_START_BOUNDS;
        assertThat((double) fleet.upstream(COLD).largestSecond())
                .isLessThanOrEqualTo(bounds.excess() * perSecond + bounds.extra());
    }

    @ParameterizedTest
    @CsvSource({
        "8,1", "8,8.7", "8,30", "8,100", "77,1", "77,8.7", "77,30", "77,100", "390,1", "390,8.7",
        "390,30", "390,100"
    })
    void coldUpstream_getsItsRateAndNotMore(int vms, double perSecond) {
        long measuredMs = (long) Math.max(MEASURED_MS, MEASURED_REQUESTS * 1_000 / perSecond);
        long seeds = vms > 100 ? 1 : 3;
        for (long seed = 0; seed < seeds; seed++) {
            RateLimitFleet fleet = fleet(vms, perSecond, seed);
            fleet.load(load(perSecond), SETTLE_MS);
            long fromMs = fleet.nowMs();
            fleet.load(load(perSecond), measuredMs);
            assertWithinBound(fleet, perSecond);
            assertThat((double) fleet.upstream(COLD).arrivalsSince(fromMs))
                    .as("vms %d, rate %f, seed %d", vms, perSecond, seed)
                    .isGreaterThanOrEqualTo(USED_SHARE * perSecond * measuredMs / 1_000);
            assertThat(fleet.refused()).isZero();
        }
    }

    @ParameterizedTest
    @CsvSource({"8,1", "8,8.7", "8,100", "77,1", "77,8.7", "77,100", "390,8.7"})
    void dividedFleet_staysWithinTheBound(int vms, double perSecond) {
        for (long seed = 0; seed < 8; seed++) {
            RateLimitFleet fleet = fleet(vms, perSecond, seed);
            fleet.load(load(perSecond), SETTLE_MS);
            fleet.divide(part(vms, seed), NOTICED_WITHIN_MS);
            fleet.load(load(perSecond), 6_000);
            fleet.divide(Set.of(), NOTICED_WITHIN_MS);
            fleet.load(load(perSecond), 4_000);
            assertWithinBound(fleet, perSecond);
        }
    }

    private static Set<String> part(int vms, long seed) {
        Set<String> part = new HashSet<>();
        for (int i = 0; i < vms; i++) {
            if ((i + seed) % 2 == 0) {
                part.add("vm-" + i);
            }
        }
        return part;
    }

    @ParameterizedTest
    @CsvSource({"8,8.7", "8,100", "77,8.7", "77,100"})
    void deadAndRestartedIssuers_keepTheBound(int vms, double perSecond) {
        for (long seed = 0; seed < 8; seed++) {
            RateLimitFleet fleet = fleet(vms, perSecond, seed);
            fleet.loseMessages(LOSS_SHARE);
            fleet.load(load(perSecond), SETTLE_MS);
            List<String> issuers = fleet.issuersOf(COLD);
            fleet.kill(issuers.get(0), NOTICED_WITHIN_MS);
            fleet.load(load(perSecond), 1_500);
            fleet.setPartitioned(issuers.get(1), true);
            fleet.load(load(perSecond), 1_500);
            fleet.start(issuers.get(0), NOTICED_WITHIN_MS);
            fleet.load(load(perSecond), 3_000);
            fleet.setPartitioned(issuers.get(1), false);
            fleet.load(load(perSecond), 3_000);
            assertWithinBound(fleet, perSecond);
        }
    }

    @Test
    void wholeFailureDomainThatReturnsCold_isUsedWithoutBeingFlooded() {
        double perSecond = 8.7;
        RateLimitFleet fleet = fleet(77, perSecond, 1, Issuing.FIXED_VMS);
        fleet.load(400, SETTLE_MS);
        for (int i = 0; i < 20; i++) {
            fleet.addColdUpstream(COLD + i, KNOWN_WITHIN_MS);
        }
        fleet.load(400, SETTLE_MS);
        long fromMs = fleet.nowMs();
        fleet.load(400, MEASURED_MS);
        long arrivals = 0;
        for (int i = 0; i < 20; i++) {
            arrivals += fleet.upstream(COLD + i).arrivalsSince(fromMs);
            assertThat((double) fleet.upstream(COLD + i).largestSecond())
                    .isLessThanOrEqualTo(1.5 * perSecond + 5);
        }
        assertThat((double) arrivals).isGreaterThan(0.5 * 20 * perSecond * MEASURED_MS / 1_000);
        assertThat(fleet.refused()).isZero();
    }

    @ParameterizedTest
    @ValueSource(strings = {"FIXED_VMS", "ONE_HOME", "OWN_SHARES"})
    void waysToIssuePermits_areCompared(Issuing issuing) {
        StringBuilder table = new StringBuilder();
        for (int vms : new int[] {8, 77}) {
            for (double perSecond : new double[] {1, 8.7, 100}) {
                RateLimitFleet fleet = fleet(vms, perSecond, 7, issuing);
                fleet.load(load(perSecond), SETTLE_MS);
                fleet.addColdUpstream(COLD, KNOWN_WITHIN_MS);
                fleet.load(load(perSecond), SETTLE_MS);
                long fromMs = fleet.nowMs();
                long messages = fleet.messages();
                fleet.load(load(perSecond), MEASURED_MS);
                long used = fleet.upstream(COLD).arrivalsSince(fromMs);
                long sent = fleet.messages() - messages;
                long calm = fleet.upstream(COLD).largestSecond();
                fleet.divide(part(vms, 0), NOTICED_WITHIN_MS);
                fleet.load(load(perSecond), 6_000);
                table.append(
                        String.format(
                                "%s vms %d rate %.1f: used %.2f, largest second %d of %.1f,"
                                        + " divided %d, messages a send %.1f%n",
                                issuing,
                                vms,
                                perSecond,
                                used / (perSecond * MEASURED_MS / 1_000),
                                calm,
                                1.5 * perSecond + 5,
                                fleet.upstream(COLD).largestSecond(),
                                sent / (double) Math.max(1, used)));
                assertThat((double) calm).isLessThanOrEqualTo(1.5 * perSecond + 5);
                if (issuing == Issuing.FIXED_VMS) {
                    assertWithinBound(fleet, perSecond);
                }
            }
        }
        System.out.print(table);
    }
}
