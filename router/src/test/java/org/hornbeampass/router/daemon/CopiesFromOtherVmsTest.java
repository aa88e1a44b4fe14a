package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;

/**
 * Guards against VMs that saturate their links with repeated copies of the configuration: routes
 * were answered 404 for seconds, and all kinds of answers were late, while the links of half of the
 * VMs were saturated.
 *
 * <p>Sequence: the configuration grew to some 2,000 routes; VMs learned that others had a newer
 * one, and requested it from them repeatedly.
 *
 * <p>Cause: each request was answered with a full copy, whatever the requesting VM already had, and
 * the copy was discarded after 400 ms, in which a link of 7 Mbit/s carries 350 KB. The store's own
 * answer used the same link at the same time.
 *
 * <p>The VM that answered 404 logged six times that its view was behind, each time at the same
 * revision, with a saturated link and an idle processor. After the last change of a day, VMs sent
 * each other 10 to 20 MB a second until the end of the day.
 */
class CopiesFromOtherVmsTest {
    private static final int FAST_LINK_VMS = 8;
    private static final int SLOW_LINK_VMS = 40;

    /** The size of a configuration of some 2,000 routes. */
    private static final int LARGE_BYTES = 500_000;

    /** The size of the largest value that the store accepts. */
    private static final int LARGEST_BYTES = 1_000_000;

    /** Maximum time from the acknowledgement of a version until all VMs have applied it. */
    private static final long MAX_DELAY_MS = 3_000;

    private static final long WRITE_MS = 6_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void vmsCutOffFromTheStore_getALargeConfigurationFromOtherVmsInTime(long seed) {
        SlowLinkFleet fleet = new SlowLinkFleet(FAST_LINK_VMS, SLOW_LINK_VMS, seed);
        List<SlowLinkFleet.Vm> cut =
                fleet.vms()
                        .subList(FAST_LINK_VMS + SLOW_LINK_VMS / 2, FAST_LINK_VMS + SLOW_LINK_VMS);
        fleet.writeConfig(0, 1, LARGE_BYTES);
        fleet.cutOff(cut, 5_000, 30_000);
        fleet.writeConfig(WRITE_MS, 2, LARGE_BYTES);
        fleet.time().runUntil(WRITE_MS);
        long before = fleet.bytes();

        fleet.time().runUntil(WRITE_MS + 2 * MAX_DELAY_MS);
        assertThat(fleet.vmsBehind(2)).isEmpty();
        fleet.time().runUntil(WRITE_MS + 20_000);
        assertThat(copiesPerVm(fleet.bytes() - before, LARGE_BYTES)).isLessThan(1.5);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void vmsThatReadALargeConfigurationFromTheStore_requestNoCopies(long seed) {
        SlowLinkFleet fleet = new SlowLinkFleet(FAST_LINK_VMS, SLOW_LINK_VMS, seed);
        fleet.writeConfig(0, 1, LARGEST_BYTES);
        fleet.time().runUntil(WRITE_MS);
        long before = fleet.bytes();
        int versions = 4;
        for (int i = 0; i < versions; i++) {
            long atMs = WRITE_MS + i * MAX_DELAY_MS;
            fleet.writeConfig(atMs, i + 2, LARGEST_BYTES);
            fleet.time().runUntil(atMs + MAX_DELAY_MS - 1);
            assertThat(fleet.vmsBehind(i + 2)).isEmpty();
        }
        assertThat(copiesPerVm(fleet.bytes() - before, LARGEST_BYTES)).isLessThan(versions * 1.1);
    }

    /** Returns the average number of configurations received by each VM. */
    private static double copiesPerVm(long bytes, int each) {
        return (double) bytes / each / (FAST_LINK_VMS + SLOW_LINK_VMS);
    }
}
