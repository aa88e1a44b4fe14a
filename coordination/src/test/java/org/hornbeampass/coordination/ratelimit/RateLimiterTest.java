package org.hornbeampass.coordination.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against fleets that exceed the rate limit of an upstream or leave a part of it unused, in
 * virtual time and with failures of VMs and of the network.
 */
class RateLimiterTest {
    private static final int UPSTREAMS = 6;
    private static final long SETTLE_MS = 2_000;
    private static final long MEASURED_MS = 40_000;
    private static final double USED_SHARE = 0.9;

    /** Far above each limit, so that the demand always exceeds it. */
    private static final double LOAD_SHARE = 3;

    private static final double OTHER_LOAD = 40;

    /** Enough that each of eight VMs has requests in flight at each upstream. */
    private static final double HEAVY_LOAD = 360;

    private static RateLimitFleet limitedFleet(int vms, double perSecond, long seed) {
        RateLimitFleet fleet = new RateLimitFleet(vms, UPSTREAMS, seed);
        fleet.load(load(perSecond), SETTLE_MS);
        fleet.upstream(0).announceLimit(fleet.nowMs(), perSecond);
        return fleet;
    }

    private static double load(double perSecond) {
        return Math.max(OTHER_LOAD, LOAD_SHARE * UPSTREAMS * perSecond);
    }

    private static void assertKeptByInformedVms(RateLimitFleet fleet) {
        LimitedUpstream upstream = fleet.upstream(0);
        assertThat((double) upstream.largestWindowOfInformedVms())
                .isLessThanOrEqualTo(upstream.allowed());
    }

    /**
     * Checks the requests that all VMs send from a time on, whether a VM received the limit from an
     * answer or from another VM.
     */
    private static void assertKeptByAllVms(RateLimitFleet fleet, long fromMs) {
        LimitedUpstream upstream = fleet.upstream(0);
        assertThat(upstream.largestWindowOfAllVms(fromMs)).isPositive();
        assertThat((double) upstream.largestWindowOfAllVms(fromMs))
                .isLessThanOrEqualTo(upstream.allowed());
    }

    @ParameterizedTest
    @CsvSource({
        "8,0.2", "8,1", "8,5", "8,20", "8,100", "95,0.2", "95,1", "95,5", "95,20", "95,100"
    })
    void limitOfOneUpstream_isKeptByTheWholeFleetAndUsed(int vms, double perSecond) {
        for (long seed = 0; seed < 5; seed++) {
            RateLimitFleet fleet = limitedFleet(vms, perSecond, seed);
            fleet.load(load(perSecond), SETTLE_MS);
            long fromMs = fleet.nowMs();
            fleet.load(load(perSecond), MEASURED_MS);
            assertKeptByInformedVms(fleet);
            LimitedUpstream upstream = fleet.upstream(0);
            assertThat(upstream.largestWindowOfAllVms(fromMs))
                    .isLessThanOrEqualTo((long) upstream.allowed());
            assertThat((double) upstream.arrivalsSince(fromMs))
                    .as("vms %d, rate %f, seed %d", vms, perSecond, seed)
                    .isGreaterThanOrEqualTo(USED_SHARE * perSecond * MEASURED_MS / 1_000);
            assertThat(fleet.refused()).isZero();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void limitOfAllUpstreams_isKeptAndUsed(int vms) {
        RateLimitFleet fleet = limitedFleet(vms, 2, 1);
        for (int i = 1; i < UPSTREAMS; i++) {
            fleet.upstream(i).announceLimit(fleet.nowMs(), 2);
        }
        fleet.load(60, SETTLE_MS);
        long fromMs = fleet.nowMs();
        fleet.load(60, MEASURED_MS);
        long arrived = 0;
        for (int i = 0; i < UPSTREAMS; i++) {
            LimitedUpstream upstream = fleet.upstream(i);
            assertThat((double) upstream.largestWindowOfInformedVms())
                    .isLessThanOrEqualTo(upstream.allowed());
            arrived += upstream.arrivalsSince(fromMs);
        }
        assertThat((double) arrived)
                .isGreaterThanOrEqualTo(USED_SHARE * 2 * UPSTREAMS * MEASURED_MS / 1_000);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void limitsOfAllUpstreamsButOne_refuseNothing(int vms) {
        RateLimitFleet fleet = limitedFleet(vms, 1, 1);
        for (int i = 1; i < UPSTREAMS - 1; i++) {
            fleet.upstream(i).announceLimit(fleet.nowMs(), 1);
        }
        fleet.load(OTHER_LOAD, MEASURED_MS);
        assertKeptByInformedVms(fleet);
        assertThat(fleet.refused()).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void crashOfTheHome_neitherBreaksTheLimitNorStopsTheUse(int vms) {
        for (long seed = 0; seed < 20; seed++) {
            RateLimitFleet fleet = limitedFleet(vms, 5, seed);
            fleet.load(HEAVY_LOAD, 6_000);
            long settledMs = fleet.nowMs();
            String home = fleet.homeOf(0);
            fleet.kill(home, 3_000);
            fleet.load(HEAVY_LOAD, 5_000);
            fleet.start(home, 1_000);
            fleet.load(HEAVY_LOAD, 10_000);
            assertKeptByInformedVms(fleet);
            assertKeptByAllVms(fleet, settledMs);
            long fromMs = fleet.nowMs();
            fleet.load(HEAVY_LOAD, 10_000);
            assertThat(fleet.upstream(0).arrivalsSince(fromMs)).isGreaterThanOrEqualTo(45);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void partitionedHomeAndLostMessages_breakNoLimit(int vms) {
        for (long seed = 0; seed < 20; seed++) {
            RateLimitFleet fleet = limitedFleet(vms, 1, seed);
            fleet.loseMessages(0.1);
            String home = fleet.homeOf(0);
            fleet.load(load(1), 4_000);
            long fromMs = fleet.nowMs();
            fleet.setPartitioned(home, true);
            fleet.load(load(1), 6_000);
            fleet.setPartitioned(home, false);
            fleet.load(load(1), 10_000);
            assertKeptByInformedVms(fleet);
            assertKeptByAllVms(fleet, fromMs);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void restartOfAll_breaksNoLimit(int vms) {
        for (long seed = 0; seed < 5; seed++) {
            RateLimitFleet fleet = limitedFleet(vms, 1, seed);
            fleet.load(load(1), 5_000);
            for (int i = 0; i < vms; i++) {
                fleet.kill("vm-" + i, 1);
            }
            fleet.load(load(1), 1_000);
            for (int i = 0; i < vms; i++) {
                fleet.start("vm-" + i, 1);
            }
            fleet.load(load(1), SETTLE_MS);
            long fromMs = fleet.nowMs();
            fleet.load(load(1), 15_000);
            assertKeptByInformedVms(fleet);
            assertKeptByAllVms(fleet, fromMs);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void loweredLimit_isKeptSoon(int vms) {
        RateLimitFleet fleet = limitedFleet(vms, 10, 1);
        fleet.load(load(10), 8_000);
        fleet.upstream(0).announceLimit(fleet.nowMs(), 1);
        fleet.load(load(10), 2_000);
        long fromMs = fleet.nowMs();
        fleet.load(load(10), 20_000);
        assertThat(fleet.upstream(0).largestWindowOfAllVms(fromMs)).isLessThanOrEqualTo(11);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void raisedLimit_isUsedSoon(int vms) {
        RateLimitFleet fleet = limitedFleet(vms, 0.2, 1);
        fleet.load(load(10), 8_000);
        fleet.upstream(0).announceLimit(fleet.nowMs(), 10);
        fleet.load(load(10), 3_000);
        long fromMs = fleet.nowMs();
        fleet.load(load(10), 10_000);
        assertKeptByInformedVms(fleet);
        assertThat(fleet.upstream(0).arrivalsSince(fromMs)).isGreaterThanOrEqualTo(90);
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 95})
    void withdrawnLimit_expiresWithinSeconds(int vms) {
        RateLimitFleet fleet = limitedFleet(vms, 1, 1);
        fleet.load(OTHER_LOAD, 8_000);
        fleet.upstream(0).withdrawLimit();
        fleet.load(OTHER_LOAD, 5_000);
        long fromMs = fleet.nowMs();
        fleet.load(OTHER_LOAD, 10_000);
        double evenShare = OTHER_LOAD * 10 / UPSTREAMS;
        assertThat((double) fleet.upstream(0).arrivalsSince(fromMs))
                .isGreaterThanOrEqualTo(evenShare / 2);
    }

    @Test
    void upstreamWithRateZero_isProbedAgain() {
        RateLimitFleet fleet = limitedFleet(8, 0, 1);
        fleet.load(OTHER_LOAD, 20_000);
        assertKeptByInformedVms(fleet);
        fleet.upstream(0).withdrawLimit();
        fleet.load(OTHER_LOAD, 15_000);
        long fromMs = fleet.nowMs();
        fleet.load(OTHER_LOAD, 10_000);
        assertThat(fleet.upstream(0).arrivalsSince(fromMs)).isGreaterThanOrEqualTo(30);
    }

    @Test
    void messagesDependOnRequests_notOnVms() {
        long[] messages = new long[2];
        int[] fleets = {24, 95};
        for (int i = 0; i < fleets.length; i++) {
            RateLimitFleet fleet = limitedFleet(fleets[i], 1, 1);
            fleet.load(OTHER_LOAD, 20_000);
            messages[i] = fleet.messages();
        }
        assertThat(messages[1]).isLessThan(3 * messages[0]);
    }

    @Test
    void fleetWithoutLimits_sendsNothing() {
        RateLimitFleet fleet = new RateLimitFleet(8, UPSTREAMS, 1);
        fleet.load(OTHER_LOAD, 20_000);
        assertThat(fleet.messages()).isZero();
        assertThat(fleet.served()).isGreaterThan(700);
    }
}
