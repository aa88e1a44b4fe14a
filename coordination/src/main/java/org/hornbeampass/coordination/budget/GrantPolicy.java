package org.hornbeampass.coordination.budget;

/**
 * How much a VM draws from the platform, and how much it gives back.
 *
 * <p>No value can cause overspend: what is drawn never exceeds what is available. Immutable; safe
 * for use by any thread.
 */
public enum GrantPolicy {
    /** Baseline: an equal part for each VM, drawn once and kept. */
    EQUAL_SPLIT {
        @Override
        public long tokensToDraw(GrantPolicyInput need) {
            return need.paid() / need.drawingVms() - need.drawn();
        }

        @Override
        public long tokensToReturn(GrantPolicyInput need) {
            return 0;
        }
    },
    /** Baseline: each request draws what it reserves, and all that is left goes back. */
    WRITE_PER_REQUEST {
        @Override
        public long tokensToDraw(GrantPolicyInput need) {
            return need.waiting() - need.free();
        }

        @Override
        public long tokensToReturn(GrantPolicyInput need) {
            return need.free() - need.waiting();
        }
    },
    /** A fixed number of tokens at a time, kept until it is spent. */
    FIXED_CHUNK {
        @Override
        public long tokensToDraw(GrantPolicyInput need) {
            long chunk = Math.max(need.chunkTokens(), need.waiting());
            boolean low = need.free() < need.waiting() || need.free() < need.chunkTokens() / 2;
            return low && need.demandPerMs() > 0 ? chunk : 0;
        }

        @Override
        public long tokensToReturn(GrantPolicyInput need) {
            return 0;
        }
    },
    /**
     * What lasts for a horizon at the present demand, in steps that shrink as the budget runs out;
     * what is idle goes back.
     */
    DEMAND_HORIZON {
        @Override
        public long tokensToDraw(GrantPolicyInput need) {
            long target = target(need);
            if (need.free() >= need.waiting() && need.free() >= target * REFILL_BELOW) {
                return 0;
            }
            long step = (long) (need.available() * need.maxGrantedShare() / need.drawingVms());
            long atLeast = need.waiting() - need.free();
            return Math.max(atLeast, Math.min(target - need.free(), step));
        }

        @Override
        public long tokensToReturn(GrantPolicyInput need) {
            long target = target(need);
            long most = Math.max(2 * target, target + 2 * need.largestReservation());
            return need.free() > most ? need.free() - target : 0;
        }

        private long target(GrantPolicyInput need) {
            if (need.demandPerMs() <= 0 && need.waiting() == 0) {
                return 0;
            }
            return Math.max(
                    need.horizonTokens(), Math.max(need.waiting(), 2 * need.largestReservation()));
        }
    };

    private static final double REFILL_BELOW = 0.75;

    /** Returns the tokens to draw; less than one for none; the caller caps at what is available. */
    public abstract long tokensToDraw(GrantPolicyInput need);

    /** Returns the free tokens to give back; less than one for none. */
    public abstract long tokensToReturn(GrantPolicyInput need);
}
