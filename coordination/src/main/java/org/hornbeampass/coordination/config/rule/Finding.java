package org.hornbeampass.coordination.config.rule;

import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A problem of a configuration change and how to correct it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param kind the error kind to report
 * @param problem the problem
 * @param remedy how to correct the change
 */
public record Finding(ErrorKind kind, String problem, String remedy) {
    static Finding invalid(String problem, String remedy) {
        return new Finding(ErrorKind.FIELD_INVALID, problem, remedy);
    }

    /** Returns one failure with the messages of all findings and the kind of the first one. */
    public static Failure toFailure(List<Finding> findings) {
        String message =
                findings.stream()
                        .map(f -> f.problem() + "; " + f.remedy())
                        .collect(Collectors.joining(". "));
        return Failure.of(findings.get(0).kind(), message);
    }
}
