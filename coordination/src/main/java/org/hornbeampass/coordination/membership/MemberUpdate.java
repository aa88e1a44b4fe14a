package org.hornbeampass.coordination.membership;

import com.fasterxml.jackson.annotation.JsonFormat;

import org.hornbeampass.state.VmId;

import java.util.Optional;

/**
 * Report on one VM, as it is sent between routers.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param name the VM's name
 * @param incarnation its incarnation
 * @param counter increases when the incarnation refutes a report about itself
 * @param state twice the code of its {@code Health}, plus one if it is leaving
 * @param details its addresses and location, if the receiver may not know the incarnation yet
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record MemberUpdate(
        String name, long incarnation, long counter, int state, Optional<MemberDetails> details) {
    private static final int FIXED_BYTES = 15;
    private static final int MAX_STATE = 5;

    static MemberUpdate of(
            VmId vm,
            long counter,
            Health health,
            boolean leaving,
            Optional<MemberDetails> details) {
        int state = health.code() * 2 + (leaving ? 1 : 0);
        return new MemberUpdate(vm.name(), vm.incarnation(), counter, state, details);
    }

    VmId vm() {
        return new VmId(name, incarnation);
    }

    Health health() {
        return Health.fromCode(state >> 1);
    }

    boolean leaving() {
        return (state & 1) == 1;
    }

    boolean wellFormed() {
        return state >= 0 && state <= MAX_STATE && counter >= 0;
    }

    int encodedBytes() {
        return FIXED_BYTES + name.length() + details.map(MemberDetails::encodedBytes).orElse(0);
    }
}
