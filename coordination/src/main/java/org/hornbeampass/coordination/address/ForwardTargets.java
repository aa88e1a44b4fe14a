package org.hornbeampass.coordination.address;

import org.hornbeampass.state.member.Member;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the VM that handles a request in place of one that has lost its links to the service.
 *
 * <p>Invariant: never chooses a VM that has lost its links too. Stateless; safe for use by any
 * thread.
 */
public final class ForwardTargets {
    private ForwardTargets() {}

    /**
     * Chooses a VM at random, an overloaded one only if there is no other.
     *
     * @param candidates the other VMs that are up
     * @param withoutService the names of the VMs that have lost their links to the service
     * @param overloaded the names of overloaded VMs
     * @param tried the names of the VMs to which the request was forwarded before
     * @param random spreads the requests
     */
    public static Optional<Member> choose(
            List<Member> candidates,
            Set<String> withoutService,
            Set<String> overloaded,
            Set<String> tried,
            RandomGenerator random) {
        List<Member> reaching =
                candidates.stream()
                        .filter(m -> !withoutService.contains(m.name()))
                        .filter(m -> !tried.contains(m.name()))
                        .toList();
        List<Member> calm = reaching.stream().filter(m -> !overloaded.contains(m.name())).toList();
        List<Member> eligible = calm.isEmpty() ? reaching : calm;
        return eligible.isEmpty()
                ? Optional.empty()
                : Optional.of(eligible.get(random.nextInt(eligible.size())));
    }
}
