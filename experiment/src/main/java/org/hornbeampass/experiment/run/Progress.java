package org.hornbeampass.experiment.run;

import org.hornbeampass.experiment.load.LoadRunner;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Tells a person how far an experiment is, once a second.
 *
 * <p>Thread-safe.
 */
final class Progress {
    private final PrintWriter mOut;

    Progress(PrintWriter out) {
        mOut = out;
    }

    void say(String line) {
        mOut.println(line);
    }

    /** Starts telling of a load. */
    Ticker start(LoadRunner load, Journal journal, int requests) {
        return new Ticker(load, journal, requests);
    }

    /** Prints a line each second until it is closed. */
    final class Ticker implements AutoCloseable {
        private final LoadRunner mLoad;
        private final Journal mJournal;
        private final int mRequests;
        private final long mStartNanos = System.nanoTime();
        private final ScheduledExecutorService mTimer =
                Executors.newSingleThreadScheduledExecutor();
        private int mToldEvents;

        private Ticker(LoadRunner load, Journal journal, int requests) {
            mLoad = load;
            mJournal = journal;
            mRequests = requests;
            ScheduledFuture<?> unused =
                    mTimer.scheduleAtFixedRate(this::tell, 1, 1, TimeUnit.SECONDS);
        }

        /** Prints a line of its own. */
        void say(String line) {
            Progress.this.say(line);
        }

        private void tell() {
            List<Outcome.Event> events = mJournal.events();
            for (; mToldEvents < events.size(); mToldEvents++) {
                say("      " + events.get(mToldEvents).what());
            }
            long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - mStartNanos);
            long ended = mLoad.ended();
            say(
                    String.format(
                            java.util.Locale.ROOT,
                            "%4d s  %6d of %d sent, %6d served, %5d refused or cut, %4d open",
                            seconds,
                            mLoad.sent(),
                            mRequests,
                            mLoad.served(),
                            ended - mLoad.served(),
                            mLoad.sent() - ended));
        }

        @Override
        public void close() {
            mTimer.shutdownNow();
            tell();
        }
    }
}
