package org.hornbeampass.state.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.VmId;

import java.util.Objects;

/**
 * Identifies one attempt of one VM to serve a request.
 *
 * <p>Invariant: a VM's life never gives a number twice, so no two attempts share a value.
 * Immutable; safe for use by any thread.
 *
 * @param vm the VM that serves the request
 * @param number the VM's own number for the attempt
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record AttemptId(VmId vm, long number) {
    /** Checks that the VM is given. */
    public AttemptId {
        Objects.requireNonNull(vm, "vm");
    }
}
