package org.hornbeampass.router.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against VMs that apply a growing configuration too late on slow links after an outage of
 * the store: some VMs answered 404 for a route that the operators had added, and that the store had
 * acknowledged more than three seconds before.
 *
 * <p>Sequence: versions are written one after another; all VMs are cut off from the store for eight
 * seconds, during which more versions are written; then one with many more routes follows, and
 * others of its size.
 *
 * <p>Cause: a watch that resumes from the version before the outage is answered with all versions
 * since. While those were received, newer ones were written, and the next answer contained all of
 * these.
 *
 * <p>One VM logged sixteen versions at one time, and versions 83, 85 and 90 at one time four
 * seconds later, with its processor 5 % busy and its link saturated. Listing the keys after a
 * failed watch instead of resuming the watch is sufficient to pass this test.
 */
class ConfigurationOnSlowLinksTest {
    /** The sizes of a configuration of some 250 routes, and of one of some 2,000. */
    private static final int SMALL_BYTES = 60_000;

    private static final int LARGE_BYTES = 500_000;

    private static final long SMALL_GAP_MS = 235;
    private static final long LARGE_GAP_MS = 1_600;

    /** Maximum time from the acknowledgement of a version until all VMs have applied it. */
    private static final long MAX_DELAY_MS = 3_000;

    private static final long CUT_MS = 7_000;
    private static final long RECONNECT_MS = 15_000;
    private static final long FIRST_LARGE_MS = 15_100;
    private static final int LARGE_VERSIONS = 6;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void configurationThatGrowsAfterAnOutage_isAppliedOnAllVmsInTime(long seed) {
        SlowLinkFleet fleet = new SlowLinkFleet(8, 40, seed);
        long version = 1;
        fleet.writeConfig(0, version, SMALL_BYTES);
        for (long t = 4_000; t < 6_800; t += SMALL_GAP_MS) {
            fleet.writeConfig(t, ++version, SMALL_BYTES);
        }
        for (long t = 11_200; t < FIRST_LARGE_MS; t += SMALL_GAP_MS) {
            fleet.writeConfig(t, ++version, SMALL_BYTES);
        }
        fleet.cutOff(fleet.vms(), CUT_MS, RECONNECT_MS);
        for (int i = 0; i < LARGE_VERSIONS; i++) {
            fleet.writeConfig(FIRST_LARGE_MS + i * LARGE_GAP_MS, version + 1 + i, LARGE_BYTES);
        }
        for (int i = 0; i < LARGE_VERSIONS; i++) {
            long acknowledgedMs = FIRST_LARGE_MS + (i + 1) * LARGE_GAP_MS;
            fleet.time().runUntil(acknowledgedMs + MAX_DELAY_MS);
            assertThat(fleet.vmsBehind(version + 1 + i))
                    .as("VMs that have not applied large version %s in time", i + 1)
                    .isEmpty();
        }
    }
}
