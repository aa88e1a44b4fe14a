package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.List;
import java.util.stream.Collectors;

/**
 * One thing that is wrong with a configuration change, and what mends it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind the error kind that it is answered with
 * @param problem what is wrong
 * @param remedy how to mend it
 */
public record Finding(ErrorKind kind, String problem, String remedy) {
    static Finding invalid(String problem, String remedy) {
        return new Finding(ErrorKind.FIELD_INVALID, problem, remedy);
    }

    /** Returns one failure that tells of all findings; its kind is that of the first. */
    public static Failure toFailure(List<Finding> findings) {
        String message =
                findings.stream()
                        .map(f -> f.problem() + "; " + f.remedy())
                        .collect(Collectors.joining(". "));
        return Failure.of(findings.get(0).kind(), message);
    }
}
