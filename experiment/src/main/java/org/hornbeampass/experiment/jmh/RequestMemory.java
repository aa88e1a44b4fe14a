package org.hornbeampass.experiment.jmh;

import java.util.Locale;

/**
 * Prints how many bytes of heap a remembered id takes on the VM that owns its shard.
 *
 * <p>Runs on one thread.
 */
public final class RequestMemory {
    private static final int STEP = 10_000;
    private static final int[] SIZES = {500_000, 1_000_000, 2_000_000};
    private static final long LONG_MEMORY_MS = 86_400_000;

    private RequestMemory() {}

    /** Fills ledgers of several sizes and prints one line for each. */
    public static void main(String[] args) {
        for (int size : SIZES) {
            long before = usedBytes();
            LedgerUnderTest ledger = new LedgerUnderTest(LONG_MEMORY_MS);
            for (int i = 0; i < size; i += STEP) {
                ledger.bill(STEP);
            }
            long used = usedBytes() - before;
            System.out.printf(
                    Locale.ROOT,
                    "%d ids: %.1f bytes each%n",
                    ledger.billed(),
                    used / (double) ledger.billed());
        }
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
