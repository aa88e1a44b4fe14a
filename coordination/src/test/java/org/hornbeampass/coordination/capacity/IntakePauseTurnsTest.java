package org.hornbeampass.coordination.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/** Guards against a VM that takes in requests that it answers late, while others have room. */
class IntakePauseTurnsTest {
    private static final int OTHERS = 16;
    private static final long OBJECTIVE_MS = 300;
    private static final long LEAVE_MS = 1_000;
    private static final double UPSTREAM_MS = 30;
    private static final double END_MS = 20_000;

    /** Accepted, read, connected to an upstream, first event, end of the answer. */
    private static final int TURNS = 5;

    /** The turn after which the request waits for its upstream. */
    private static final int SEND_TURN = 3;

    /** One request; each of its turns becomes ready some time after the one before it. */
    private static final class Request {
        final double mSentMs;
        double mReadyMs;
        int mTurns;

        Request(double sentMs) {
            mSentMs = sentMs;
            mReadyMs = sentMs;
        }
    }

    /** An event loop that is asked for more than it can do, by callers that keep to it. */
    private static final class Vm {
        private final IntakePause mPause = new IntakePause();
        private final double mTurnMs;
        private final List<Request> mOpen = new ArrayList<>();
        private double mNowMs;
        private boolean mPaused;
        private int mInTime;
        private int mLate;
        private int mLeft;
        private int mRefused;

        Vm(double requestsPerS) {
            mTurnMs = 1_000 / requestsPerS / TURNS;
            mPause.setOtherVms(OTHERS);
        }

        void play(double askedPerS) {
            Queue<Request> arrivals = new ArrayDeque<>();
            for (double t = 0; t < END_MS; t += 1_000 / askedPerS) {
                arrivals.add(new Request(t));
            }
            while (mNowMs < END_MS) {
                double beforeMs = mNowMs;
                take(arrivals);
                runTurns();
                double workedMs = mNowMs - beforeMs;
                mNowMs += workedMs == 0 ? 1 : 0;
                mPaused = mPause.onTurn(mNowMs, workedMs);
            }
        }

        private void take(Queue<Request> arrivals) {
            while (!arrivals.isEmpty() && arrivals.peek().mSentMs <= mNowMs) {
                Request request = arrivals.remove();
                if (mPaused) {
                    mRefused++;
                } else {
                    mOpen.add(request);
                }
            }
        }

        /** Runs one turn of all requests that were ready when the sockets were polled. */
        private void runTurns() {
            double polledMs = mNowMs;
            for (Request request : List.copyOf(mOpen)) {
                if (request.mReadyMs > polledMs) {
                    continue;
                }
                mNowMs += mTurnMs;
                if (polledMs - request.mSentMs > LEAVE_MS) {
                    mLeft++;
                    mOpen.remove(request);
                    continue;
                }
                request.mTurns++;
                request.mReadyMs = mNowMs + (request.mTurns == SEND_TURN ? UPSTREAM_MS : 0);
                if (request.mTurns == TURNS) {
                    boolean inTime = mNowMs - request.mSentMs <= OBJECTIVE_MS;
                    mInTime += inTime ? 1 : 0;
                    mLate += inTime ? 0 : 1;
                    mOpen.remove(request);
                }
            }
        }

        double inTimePerS() {
            return 1_000 * mInTime / END_MS;
        }

        @Override
        public String toString() {
            return String.format(
                    "in time %d, late %d, left %d, refused %d", mInTime, mLate, mLeft, mRefused);
        }
    }

    @Test
    void vmThatCallersKeepTo_answersMostOfItsRateInTime() {
        for (double requestsPerS : new double[] {20, 40, 120}) {
            Vm vm = new Vm(requestsPerS);
            vm.play(2.5 * requestsPerS);
            assertThat(vm.inTimePerS())
                    .as("%s requests/s: %s", requestsPerS, vm)
                    .isGreaterThan(0.6 * requestsPerS);
        }
    }

    /** Guards against a fleet that refuses everything because it is slow as a whole. */
    @Test
    void vmsThatAreAllOverloaded_serveAtTheirRate() {
        for (double load : new double[] {1.5, 5, 10}) {
            Vm vm = new Vm(40);
            vm.play(load * 40);
            assertThat(vm.inTimePerS() + 1_000 * vm.mLate / END_MS)
                    .as("%s times its rate: %s", load, vm)
                    .isGreaterThan(0.8 * 40);
        }
    }

    @Test
    void vmBelowItsRate_refusesFewRequests() {
        Vm vm = new Vm(40);
        vm.play(0.8 * 40);
        assertThat(vm.mRefused)
                .as(vm.toString())
                .isLessThan((int) (0.01 * 0.8 * 40 * END_MS / 1_000));
    }
}
