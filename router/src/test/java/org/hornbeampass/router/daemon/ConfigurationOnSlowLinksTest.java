package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What callers saw: some VMs answered 404 for a route that the operators had added, and that the
 * store had acknowledged more than three seconds before.
 *
 * <p>The order of events: versions came in a row; all VMs were cut off from the store for eight
 * seconds, in which more versions came; then one with many more routes, and others of its size.
 *
 * <p>The cause: a watch that goes on from the version before the cut is answered with all versions
 * since. While those came in, newer ones were written, and were in the next answer together.
 *
 * <p>The evidence: one VM logged sixteen versions with one time, then 83, 85 and 90 with one time,
 * four seconds later, at a processor that was 5 % busy and a link that was full. With a listing
 * after a failed watch, and nothing else changed, the test passes.
 */
class ConfigurationOnSlowLinksTest {
    /** A configuration of some 250 routes, and one of some 2,000. */
    private static final int SMALL_BYTES = 60_000;

    private static final int LARGE_BYTES = 500_000;

    private static final long SMALL_GAP_MS = 235;
    private static final long LARGE_GAP_MS = 1_600;

    /** How long a version may take to be in force, from its acknowledgement on. */
    private static final long BOUND_MS = 3_000;

    private static final long CUT_MS = 7_000;
    private static final long BACK_MS = 15_000;
    private static final long GROWS_MS = 15_100;
    private static final int LARGE_VERSIONS = 6;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void configurationThatGrowsAfterACut_isInForceEverywhereInTime(long seed) {
        SlowLinkFleet fleet = new SlowLinkFleet(8, 40, seed);
        long version = 1;
        fleet.writeConfig(0, version, SMALL_BYTES);
        for (long t = 4_000; t < 6_800; t += SMALL_GAP_MS) {
            fleet.writeConfig(t, ++version, SMALL_BYTES);
        }
        for (long t = 11_200; t < GROWS_MS; t += SMALL_GAP_MS) {
            fleet.writeConfig(t, ++version, SMALL_BYTES);
        }
        fleet.cut(fleet.vms(), CUT_MS, BACK_MS);
        for (int i = 0; i < LARGE_VERSIONS; i++) {
            fleet.writeConfig(GROWS_MS + i * LARGE_GAP_MS, version + 1 + i, LARGE_BYTES);
        }
        for (int i = 0; i < LARGE_VERSIONS; i++) {
            long acknowledgedMs = GROWS_MS + (i + 1) * LARGE_GAP_MS;
            fleet.time().runUntil(acknowledgedMs + BOUND_MS);
            assertThat(fleet.behind(version + 1 + i))
                    .as("VMs without large version %s in time", i + 1)
                    .isEmpty();
        }
    }
}
