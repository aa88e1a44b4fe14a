package org.hornbeampass.coordination.budget;

import org.hornbeampass.coordination.budget.BudgetSimulation.PlatformFault;

import java.util.List;

/**
 * One step of a random schedule.
 *
 * @param kind the action of the step
 * @param vm the index that selects the VM
 * @param amount the value from 0 to 999 from which tokens, times or faults are derived
 */
record ScheduleStep(Kind kind, int vm, int amount) {
    private static final List<PlatformFault> FAULTS =
            List.of(PlatformFault.LOST, PlatformFault.REPLY_LOST, PlatformFault.LATE);

    /** Actions of a step, each with its relative frequency. */
    enum Kind {
        RESERVE(10) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.reserve(vm, 1 + amount / 2, 50L * (amount % 30));
            }
        },
        SETTLE(8) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.settle(vm, amount);
            }
        },
        REFUND(1) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.refund(vm, 1 + amount / 4);
            }
        },
        TOP_UP(3) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.topUp("t" + amount % 4, 100 + 300L * (amount % 4));
            }
        },
        SET_PAID(1) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.setPaid(amount * 2L);
            }
        },
        PASS_TIME(8) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.simulation().run(amount);
            }
        },
        PASS_LONG_TIME(2) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.simulation().run(10_000 + amount * 30L);
            }
        },
        PLATFORM_FAULT(4) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.router(vm).mNextFault = FAULTS.get(amount % FAULTS.size());
            }
        },
        OPERATOR_FAULT(2) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.simulation().operatorFault(FAULTS.get(amount % FAULTS.size()));
            }
        },
        CUT_OR_RECONNECT_PLATFORM(2) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.router(vm).mCutFromPlatform = amount % 2 == 0;
            }
        },
        CUT_OR_RECONNECT_PEERS(2) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.router(vm).mCutFromPeers = amount % 2 == 0;
            }
        },
        DROP_REPLY(2) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.router(vm).mDropNextReply = true;
            }
        },
        PAUSE(2) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.router(vm).mPaused = true;
            }
        },
        RESUME(2) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.simulation().resume(run.index(vm));
            }
        },
        CRASH_AND_MAYBE_RESTART(1) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.crash(vm, amount % 2 == 0);
            }
        },
        DECLARE_GONE(1) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.declareGone(vm);
            }
        },
        HAND_OVER(1) {
            @Override
            void run(ScheduleRun run, int vm, int amount) {
                run.handOver(vm);
            }
        };

        private final int mWeight;

        Kind(int weight) {
            mWeight = weight;
        }

        int weight() {
            return mWeight;
        }

        abstract void run(ScheduleRun run, int vm, int amount);
    }
}
