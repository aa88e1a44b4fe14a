package org.hornbeampass.coordination.requests;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.Bill;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Checks in virtual time that the number of writes to the platform depends on shards and write
 * interval, not on the request rate, and prints the measurements.
 *
 * <p>{@code -Dhornbeampass.load=true} enables the test up to the target size; it is skipped
 * otherwise.
 */
class RequestLoadTest {
    private static final int SECONDS = 20;
    private static final int WARM_UP_SECONDS = 5;
    private static final double MS_PER_SECOND = 1_000.0;

    /** The measurements of one run. */
    private record Load(
            double writesPerSecond,
            double readsPerSecond,
            double bytesPerBill,
            long largestValue,
            long medianMs,
            long p99Ms,
            int answered) {}

    @Test
    void writes_are_bounded_by_shards_and_interval() {
        Load load = run(200, 8, 16);
        double bound = 16 * MS_PER_SECOND / LedgerSettings.standard().commit().billIntervalMs();

        assertThat(load.answered()).isEqualTo(200 * SECONDS);
        assertThat(load.writesPerSecond()).isLessThanOrEqualTo(bound * 1.1);
        assertThat(load.largestValue()).isLessThan(PlatformCall.MAX_VALUE_BYTES);
    }

    @Test
    void writes_do_not_grow_with_the_request_rate() {
        Load one = run(200, 8, 16);
        Load ten = run(2_000, 8, 16);

        assertThat(ten.writesPerSecond()).isLessThan(one.writesPerSecond() * 1.5);
    }

    @Test
    @EnabledIfSystemProperty(named = "hornbeampass.load", matches = "true")
    void target_size_is_within_the_platforms_limits() {
        run(1_000, 8, 16);
        run(5_000, 64, 64);
        run(5_000, 64, 128);
        Load target = run(29_000, 390, 128);

        assertThat(target.writesPerSecond()).isLessThan(600);
    }

    @Test
    void vms_that_start_together_bill_soon_with_a_bounded_number_of_reads() {
        LedgerFleet fleet = new LedgerFleet(1, LedgerFleet.settings(16));
        for (int i = 0; i < 8; i++) {
            VmId vm = fleet.start("vm" + i, 1);
            fleet.bill(vm, "r" + i, 1);
        }
        fleet.mTime.runFor(10_000);

        assertThat(fleet.billedAttempts()).hasSize(8);
        assertThat(fleet.mPlatform.calls(PlatformCall.Kind.READ)).isLessThan(200);
    }

    @Test
    void backlog_of_an_outage_is_written_in_few_writes() {
        LedgerFleet fleet = new LedgerFleet(1, LedgerFleet.settings(16));
        for (int i = 0; i < 8; i++) {
            fleet.start("vm" + i, 1);
        }
        fleet.mTime.runFor(5_000);
        fleet.mPlatform.setOutage(true);
        List<VmId> vms = fleet.vms();
        for (int i = 0; i < 10_000; i++) {
            fleet.bill(vms.get(i % vms.size()), "r" + i, 1);
            fleet.mTime.runFor(i % 10 == 0 ? 10 : 0);
        }
        fleet.mTime.runFor(60_000);
        long before = fleet.mPlatform.calls(PlatformCall.Kind.WRITE);
        fleet.mPlatform.setOutage(false);
        long startMs = fleet.mTime.nowMs();
        while (fleet.mBillReplies.size() < 10_000 && fleet.mTime.nowMs() < startMs + 120_000) {
            fleet.mTime.runFor(100);
        }
        long writes = fleet.mPlatform.calls(PlatformCall.Kind.WRITE) - before;
        System.out.printf(
                Locale.ROOT,
                "outage queue: 10000 bills durable after %d ms in %d writes%n",
                fleet.mTime.nowMs() - startMs,
                writes);

        assertThat(fleet.billedAttempts()).hasSize(10_000);
        assertThat(writes).isLessThan(1_000);
    }

    private static Load run(int perSecond, int vms, int shards) {
        LedgerFleet fleet = new LedgerFleet(1, LedgerFleet.settings(shards));
        List<VmId> members = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            members.add(fleet.start("vm" + i, 1));
        }
        fleet.mTime.runFor(WARM_UP_SECONDS * 1_000L);
        long writes = fleet.mPlatform.calls(PlatformCall.Kind.WRITE);
        long reads = fleet.mPlatform.calls(PlatformCall.Kind.READ);
        long bytes = fleet.mPlatform.writtenBytes();
        int bills = perSecond * SECONDS;
        long[] latencies = new long[bills];
        int[] answered = new int[1];
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < bills; i++) {
            VmId vm = members.get(random.nextInt(vms));
            int index = i;
            fleet.mTime.after(
                    (long) (i * MS_PER_SECOND / perSecond),
                    t -> bill(fleet, vm, index, t, latencies, answered));
        }
        fleet.mTime.runFor(SECONDS * 1_000L);
        double writesPerSecond =
                (fleet.mPlatform.calls(PlatformCall.Kind.WRITE) - writes) / (double) SECONDS;
        double readsPerSecond =
                (fleet.mPlatform.calls(PlatformCall.Kind.READ) - reads) / (double) SECONDS;
        fleet.mTime.runFor(10_000);
        Arrays.sort(latencies);
        Load load =
                new Load(
                        writesPerSecond,
                        readsPerSecond,
                        (fleet.mPlatform.writtenBytes() - bytes) / (double) bills,
                        fleet.mPlatform.largestValue(),
                        latencies[bills / 2],
                        latencies[(int) (bills * 0.99)],
                        answered[0]);
        System.out.printf(
                Locale.ROOT, "%d bills/s, %d VMs, %d shards: %s%n", perSecond, vms, shards, load);
        return load;
    }

    private static void bill(
            LedgerFleet fleet, VmId vm, int index, long atMs, long[] latencies, int[] answered) {
        AttemptId attempt = fleet.newAttempt(vm);
        String id = "0193-8f2a-request-" + index;
        String digest = "b1946ac92492d2347c6235b4d2611184";
        Bill bill =
                new Bill(LedgerFleet.key(id, digest), LedgerFleet.BUDGET, attempt, 100, 20, atMs);
        fleet.ledger(vm)
                .bill(
                        atMs,
                        bill,
                        (t, outcome) -> {
                            latencies[index] = t - atMs;
                            answered[0]++;
                        });
    }
}
