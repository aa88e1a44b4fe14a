package org.hornbeampass.coordination.escrow;

import java.util.Random;

/** The requests that callers send in an {@link EscrowSimulation}. */
enum SimulatedLoad {
    /** Requests of three sizes; the budgets last for 1.3 times the simulated time. */
    MIXED_PROMPTS(0.037, 50_000, 50_000) {
        @Override
        Size draw(Random random) {
            double kind = random.nextDouble();
            if (kind < 0.25) {
                return Size.of(12_400, 0.98, 1);
            }
            return kind < 0.65 ? Size.of(1_120, 0.9, 1) : Size.of(2_400, 0.99, 1);
        }
    },
    /**
     * Long prompts, of which those of the largest organisation all arrive at one VM that is no home
     * of its budget, faster than that VM can hold tokens ahead.
     */
    ONE_VM(0.06, 30_000, 30_000) {
        @Override
        Size draw(Random random) {
            return LONG_PROMPTS.draw(random);
        }

        @Override
        boolean largestKeepsToOneVm() {
            return true;
        }
    },
    /**
     * Long prompts of very uneven size and many short ones. The budgets last for 1.3 times two
     * thirds of the simulated time, so that each lost token is missed before the end.
     */
    LONG_PROMPTS(0.0443, 51_000, 34_000) {
        @Override
        Size draw(Random random) {
            double kind = random.nextDouble();
            if (kind < 0.287) {
                double prompt =
                        randomPart(random, 13_300, 0.7, 39_900)
                                + randomPart(random, 3_720, 1.1, 53_200);
                return Size.ofPrompt(prompt, 120, 0.2);
            }
            if (kind < 0.501) {
                double prompt =
                        randomPart(random, 2_520, 0.4, 6_290)
                                + randomPart(random, 3_780, 0.7, 11_300)
                                + randomPart(random, 2_890, 1.0, 39_600);
                return Size.ofPrompt(prompt, 50, 0.3);
            }
            double prompt =
                    randomPart(random, 350, 0.6, 943) + randomPart(random, 1_110, 1.0, 3_790);
            return Size.ofPrompt(prompt, 170, 0.2);
        }
    };

    /**
     * One request.
     *
     * @param maxTokens the maximum tokens that the request may use
     * @param usedFraction the fraction of the maximum tokens that the request uses
     * @param worth the request's worth to its caller
     */
    record Size(long maxTokens, double usedFraction, double worth) {
        static Size of(long maxTokens, double usedFraction, double worth) {
            return new Size(maxTokens, usedFraction, worth);
        }

        static Size ofPrompt(double prompt, double output, double worthPerThousandTokens) {
            double maxTokens = prompt + 2 * output;
            return new Size(
                    (long) maxTokens,
                    (prompt + output) / maxTokens,
                    worthPerThousandTokens * maxTokens / 1_000);
        }

        long usedTokens() {
            return (long) (maxTokens * usedFraction);
        }
    }

    private static final double BUDGET_FACTOR = 1.3;
    private static final int SAMPLES = 20_000;

    private final double mRequestsPerMs;
    private final long mDurationMs;
    private final long mBudgetMs;

    SimulatedLoad(double requestsPerMs, long durationMs, long budgetMs) {
        mRequestsPerMs = requestsPerMs;
        mDurationMs = durationMs;
        mBudgetMs = budgetMs;
    }

    abstract Size draw(Random random);

    /** Returns whether all requests of the largest organisation arrive at one VM. */
    boolean largestKeepsToOneVm() {
        return false;
    }

    double requestsPerMs() {
        return mRequestsPerMs;
    }

    long durationMs() {
        return mDurationMs;
    }

    /** Returns the sum of all budgets, in tokens. */
    double prepaid() {
        Random random = new Random(7);
        double used = 0;
        for (int i = 0; i < SAMPLES; i++) {
            Size size = draw(random);
            used += size.maxTokens() * size.usedFraction() / SAMPLES;
        }
        return BUDGET_FACTOR * mRequestsPerMs * mBudgetMs * used;
    }

    private static double randomPart(Random random, double mean, double spread, double limit) {
        double drawn = mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        return Math.min(limit, drawn);
    }
}
