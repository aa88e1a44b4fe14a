package org.hornbeampass.cli.client;

/**
 * The present time and the means to wait, so that tests need neither.
 *
 * <p>Implementations are thread-safe.
 */
public interface Ticker {
    /** Returns the present time in milliseconds. */
    long nowMs();

    /** Waits for a time in milliseconds. */
    void pause(long ms);

    /** Returns the machine's own time. */
    static Ticker system() {
        return new Ticker() {
            @Override
            public long nowMs() {
                return System.currentTimeMillis();
            }

            @Override
            public void pause(long ms) {
                try {
                    Thread.sleep(ms);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
    }
}
