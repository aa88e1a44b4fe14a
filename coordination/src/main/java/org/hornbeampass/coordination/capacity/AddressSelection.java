package org.hornbeampass.coordination.capacity;

import org.hornbeampass.state.member.Member;

import java.util.List;
import java.util.Random;

/**
 * Selects the VMs that an answer about addresses names.
 *
 * <p>Implementations are stateless and safe for use by any thread.
 */
@FunctionalInterface
public interface AddressSelection {
    /**
     * Selects the VMs for one answer.
     *
     * @param snapshot what is known of the VMs
     * @param caller the caller that asks
     * @param random distributes the callers
     * @return the VMs, the preferred ones first; empty only if no VM may be named
     */
    List<Member> select(AddressSnapshot snapshot, AddressCaller caller, Random random);
}
