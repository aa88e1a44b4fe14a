package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.VmId;

import java.util.Objects;

/**
 * Identifies one attempt of one VM to serve a request.
 *
 * <p>Invariant: an incarnation of a VM never assigns a number twice, so no two attempts are equal.
 * Immutable; safe for use by any thread.
 *
 * @param vm the VM that serves the request
 * @param number the number of the attempt, unique within the incarnation of the VM
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AttemptId(VmId vm, long number) {
    /** Checks that the VM is given. */
    public AttemptId {
        Objects.requireNonNull(vm, "vm");
    }
}
