package org.hornbeampass.cli.command;

/**
 * Why a request was not served, or not in time, as far as its line in the log tells.
 *
 * <p>Immutable; safe for use by any thread.
 */
enum LossCause {
    /** The store was out of reach, and neither this VM nor the others held enough tokens. */
    TOKENS_IN_CUT("tokens, store lost") {
        @Override
        boolean matches(LogLine line) {
            return lacksTokens(line) && line.json().path("store_lost").asBoolean();
        }
    },
    /** The budget is used up: nothing is left on paper either. */
    BUDGET_USED("budget used up") {
        @Override
        boolean matches(LogLine line) {
            return line.text(OUTCOME).equals("budget_exhausted");
        }
    },
    /** Tokens are left on paper, but in grants: those of ended incarnations, or of other VMs. */
    TOKENS_GRANTED("tokens, all granted") {
        @Override
        boolean matches(LogLine line) {
            return lacksTokens(line) && line.number("unallocated") < line.number("wanted");
        }
    },
    /** The store had the tokens, and they did not come in time. */
    TOKENS_LATE("tokens, not in time") {
        @Override
        boolean matches(LogLine line) {
            return lacksTokens(line);
        }
    },
    /** A VM that had just started knew no configuration, or one that shut down took no more. */
    VM_NOT_READY("VM not ready") {
        @Override
        boolean matches(LogLine line) {
            String outcome = line.text(OUTCOME);
            return outcome.equals("not_ready") || outcome.equals("shutting_down");
        }
    },
    /** No upstream could take it. */
    NO_UPSTREAM("no upstream") {
        @Override
        boolean matches(LogLine line) {
            return line.text(OUTCOME).equals("no_upstream");
        }
    },
    /** An upstream was lost or failed while it ran. */
    BROKEN("broken at upstream") {
        @Override
        boolean matches(LogLine line) {
            String outcome = line.text(OUTCOME);
            return outcome.equals("broken")
                    || outcome.equals("upstream_failed")
                    || outcome.equals("outcome_unknown");
        }
    },
    /** It ran into its time limit. */
    DEADLINE("deadline") {
        @Override
        boolean matches(LogLine line) {
            return line.text(OUTCOME).equals("deadline_exceeded");
        }
    },
    /** The caller was gone before its end. */
    CALLER_GONE("caller gone") {
        @Override
        boolean matches(LogLine line) {
            return line.text(OUTCOME).equals("caller-gone");
        }
    },
    /** Refused for what it was: no route, no key, malformed. */
    NOT_ALLOWED("not allowed") {
        @Override
        boolean matches(LogLine line) {
            return !line.text(OUTCOME).equals(ANSWERED);
        }
    };

    private static final String OUTCOME = "outcome";
    private static final String ANSWERED = "answered";

    private final String mTitle;

    LossCause(String title) {
        mTitle = title;
    }

    /** Returns whether a request's last line shows this cause; the first that does counts. */
    abstract boolean matches(LogLine line);

    String title() {
        return mTitle;
    }

    private static boolean lacksTokens(LogLine line) {
        return line.text(OUTCOME).equals("budget_unreachable") && line.has("wanted");
    }
}
