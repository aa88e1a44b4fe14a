package org.hornbeampass.coordination.budget;

/**
 * Policies that decide how many tokens a VM draws from the platform and how many it returns.
 *
 * <p>No policy can cause overspending, because a draw never exceeds the available tokens.
 * Immutable; safe for use by any thread.
 */
public enum GrantPolicy {
    /** Baseline: each VM draws an equal part once and keeps it. */
    EQUAL_SPLIT {
        @Override
        public long tokensToDraw(GrantPolicyInput input) {
            return input.paid() / input.drawingVms() - input.drawn();
        }

        @Override
        public long tokensToReturn(GrantPolicyInput input) {
            return 0;
        }
    },
    /**
     * Baseline: each request draws the tokens that it reserves, and all unused tokens are returned.
     */
    WRITE_PER_REQUEST {
        @Override
        public long tokensToDraw(GrantPolicyInput input) {
            return input.waiting() - input.free();
        }

        @Override
        public long tokensToReturn(GrantPolicyInput input) {
            return input.free() - input.waiting();
        }
    },
    /** Draws a fixed number of tokens at a time and keeps them until they are spent. */
    FIXED_CHUNK {
        @Override
        public long tokensToDraw(GrantPolicyInput input) {
            long chunk = Math.max(input.chunkTokens(), input.waiting());
            boolean low = input.free() < input.waiting() || input.free() < input.chunkTokens() / 2;
            return low && input.demandPerMs() > 0 ? chunk : 0;
        }

        @Override
        public long tokensToReturn(GrantPolicyInput input) {
            return 0;
        }
    },
    /**
     * Draws the tokens that last for a time horizon at the current demand, in steps that shrink as
     * the budget runs out. Returns idle tokens.
     */
    DEMAND_HORIZON {
        @Override
        public long tokensToDraw(GrantPolicyInput input) {
            long targetTokens = targetTokens(input);
            if (input.free() >= input.waiting() && input.free() >= targetTokens * REFILL_BELOW) {
                return 0;
            }
            long step = (long) (input.available() * input.maxGrantedShare() / input.drawingVms());
            long missing = input.waiting() - input.free();
            return Math.max(missing, Math.min(targetTokens - input.free(), step));
        }

        @Override
        public long tokensToReturn(GrantPolicyInput input) {
            long targetTokens = targetTokens(input);
            long maxFree =
                    Math.max(2 * targetTokens, targetTokens + 2 * input.largestReservation());
            return input.free() > maxFree ? input.free() - targetTokens : 0;
        }

        private long targetTokens(GrantPolicyInput input) {
            if (input.demandPerMs() <= 0 && input.waiting() == 0) {
                return 0;
            }
            return Math.max(
                    input.horizonTokens(),
                    Math.max(input.waiting(), 2 * input.largestReservation()));
        }
    };

    private static final double REFILL_BELOW = 0.75;

    /**
     * Returns the tokens to draw. A value below 1 means none; the caller limits it to the available
     * tokens.
     */
    public abstract long tokensToDraw(GrantPolicyInput input);

    /** Returns the free tokens to return to the platform. A value below 1 means none. */
    public abstract long tokensToReturn(GrantPolicyInput input);
}
