package org.hornbeampass.state.budget;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import org.hornbeampass.state.VmId;

import java.util.Objects;

/**
 * Names a holder of grants: one VM incarnation, and how often it was closed while it still ran.
 *
 * <p>Invariant: a holder whose entry was closed is never opened again; its VM goes on as the next
 * generation. Immutable; safe for use by any thread.
 *
 * @param vm the VM's incarnation
 * @param generation 0, or the number of times that the VM found itself closed
 */
public record HolderId(VmId vm, int generation) implements Comparable<HolderId> {
    /** Checks that the VM is given. */
    public HolderId {
        Objects.requireNonNull(vm, "vm");
    }

    /** Parses the form {@code name~incarnation.generation} that {@link #toString()} gives. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static HolderId parse(String text) {
        int dot = text.lastIndexOf('.');
        if (dot < 0) {
            throw new IllegalArgumentException("holder \"" + text + "\" lacks '.generation'");
        }
        return new HolderId(
                VmId.parse(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
    }

    /** Returns the holder under which the VM goes on after this one was closed. */
    public HolderId next() {
        return new HolderId(vm, generation + 1);
    }

    @Override
    public int compareTo(HolderId other) {
        int byVm = vm.compareTo(other.vm);
        return byVm != 0 ? byVm : Integer.compare(generation, other.generation);
    }

    @JsonValue
    @Override
    public String toString() {
        return vm + "." + generation;
    }
}
