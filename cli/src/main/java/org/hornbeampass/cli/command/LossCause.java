package org.hornbeampass.cli.command;

import org.hornbeampass.state.ErrorKind;

import java.util.Arrays;
import java.util.Optional;

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
            return endsAs(line, ErrorKind.BUDGET_EXHAUSTED);
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
            return endsAs(line, ErrorKind.NOT_READY) || endsAs(line, ErrorKind.SHUTTING_DOWN);
        }
    },
    /** Upstreams crashed each time that they ran it, so that it is kept from them. */
    QUARANTINED("kept from upstreams") {
        @Override
        boolean matches(LogLine line) {
            return endsAs(line, ErrorKind.REQUEST_QUARANTINED);
        }
    },
    /** No upstream could take it. */
    NO_UPSTREAM("no upstream") {
        @Override
        boolean matches(LogLine line) {
            return endsAs(line, ErrorKind.NO_UPSTREAM);
        }
    },
    /** An upstream was lost or failed while it ran. */
    BROKEN("broken at upstream") {
        @Override
        boolean matches(LogLine line) {
            return line.text(OUTCOME).equals("broken")
                    || endsAs(line, ErrorKind.UPSTREAM_FAILED)
                    || endsAs(line, ErrorKind.OUTCOME_UNKNOWN);
        }
    },
    /** It ran into its time limit. */
    DEADLINE("deadline") {
        @Override
        boolean matches(LogLine line) {
            return endsAs(line, ErrorKind.DEADLINE_EXCEEDED);
        }
    },
    /** The upstream cut off an answer that the caller left unread for too long. */
    CALLER_SLOW("caller too slow") {
        @Override
        boolean matches(LogLine line) {
            return line.text(OUTCOME).equals("caller-slow");
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

    /** Returns the cause that a request's last line shows; empty where it was answered. */
    static Optional<LossCause> of(LogLine line) {
        return Arrays.stream(values()).filter(c -> c.matches(line)).findFirst();
    }

    /** Returns whether a request's last line shows this cause; the first that does counts. */
    abstract boolean matches(LogLine line);

    String title() {
        return mTitle;
    }

    private static boolean endsAs(LogLine line, ErrorKind kind) {
        return line.text(OUTCOME).equals(kind.code());
    }

    private static boolean lacksTokens(LogLine line) {
        return endsAs(line, ErrorKind.BUDGET_UNREACHABLE) && line.has("wanted");
    }
}
