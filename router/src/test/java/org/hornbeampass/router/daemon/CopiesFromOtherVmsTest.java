package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;

/**
 * What callers saw: routes that were answered 404 for seconds, and late answers of all kinds, while
 * the links of half of the VMs were full.
 *
 * <p>The order of events: the configuration grew to some 2,000 routes; VMs heard that others had a
 * newer one, and asked them for it, again and again.
 *
 * <p>The cause: a copy was sent whole for each question, whatever the asker knew already, and was
 * thrown away after 400 ms, in which a link of 7 Mbit/s carries 350 KB. The store's own answer came
 * over the same link meanwhile.
 *
 * <p>The evidence: the VM that refused said six times that its view was behind, each time at the
 * same revision, with a full link and an idle processor; after the last change of a day VMs sent
 * each other 10 to 20 MB a second until its end.
 */
class CopiesFromOtherVmsTest {
    private static final int WIDE = 8;
    private static final int THIN = 40;

    /** A configuration of some 2,000 routes. */
    private static final int LARGE_BYTES = 500_000;

    /** The largest value that the store takes. */
    private static final int LARGEST_BYTES = 1_000_000;

    /** How long a version may take to be in force, from its acknowledgement on. */
    private static final long BOUND_MS = 3_000;

    private static final long WRITTEN_MS = 6_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void vmsThatAreCutOff_getALargeConfigurationFromOthers(long seed) {
        SlowLinkFleet fleet = new SlowLinkFleet(WIDE, THIN, seed);
        List<SlowLinkFleet.Vm> cut = fleet.vms().subList(WIDE + THIN / 2, WIDE + THIN);
        fleet.writeConfig(0, 1, LARGE_BYTES);
        fleet.cut(cut, 5_000, 30_000);
        fleet.writeConfig(WRITTEN_MS, 2, LARGE_BYTES);
        fleet.time().runUntil(WRITTEN_MS);
        long before = fleet.bytes();

        fleet.time().runUntil(WRITTEN_MS + 2 * BOUND_MS);
        assertThat(fleet.behind(2)).isEmpty();
        fleet.time().runUntil(WRITTEN_MS + 20_000);
        assertThat(copies(fleet.bytes() - before, LARGE_BYTES)).isLessThan(1.5);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void vmsThatReadALargeConfiguration_askNobodyElseForIt(long seed) {
        SlowLinkFleet fleet = new SlowLinkFleet(WIDE, THIN, seed);
        fleet.writeConfig(0, 1, LARGEST_BYTES);
        fleet.time().runUntil(WRITTEN_MS);
        long before = fleet.bytes();
        int versions = 4;
        for (int i = 0; i < versions; i++) {
            long atMs = WRITTEN_MS + i * BOUND_MS;
            fleet.writeConfig(atMs, i + 2, LARGEST_BYTES);
            fleet.time().runUntil(atMs + BOUND_MS - 1);
            assertThat(fleet.behind(i + 2)).isEmpty();
        }
        assertThat(copies(fleet.bytes() - before, LARGEST_BYTES)).isLessThan(versions * 1.1);
    }

    /** Returns how many configurations came to each VM. */
    private static double copies(long bytes, int each) {
        return (double) bytes / each / (WIDE + THIN);
    }
}
