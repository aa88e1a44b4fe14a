package org.hornbeampass.state.budget;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import org.hornbeampass.state.VmId;

import java.util.Objects;

/**
 * Identifies a holder of grants: a VM incarnation and a generation, which counts how often its
 * entry was closed while the VM was still running.
 *
 * <p>Invariant: a closed holder is never reopened; its VM continues as the next generation.
 * Immutable and thread-safe.
 *
 * @param vm the VM incarnation
 * @param generation 0, or the number of times that the VM found its entry closed
 */
public record HolderId(VmId vm, int generation) implements Comparable<HolderId> {
    /** Checks that the VM is not null. */
    public HolderId {
        Objects.requireNonNull(vm, "vm");
    }

    /**
     * Parses the form {@code name~incarnation.generation} returned by {@link #toString()}.
     *
     * @throws IllegalArgumentException if the text does not have this form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static HolderId parse(String text) {
        int dot = text.lastIndexOf('.');
        if (dot < 0) {
            throw new IllegalArgumentException("holder \"" + text + "\" lacks '.generation'");
        }
        return new HolderId(
                VmId.parse(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
    }

    /** Returns the holder that the VM uses after this one was closed. */
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
