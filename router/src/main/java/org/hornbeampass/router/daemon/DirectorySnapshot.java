package org.hornbeampass.router.daemon;

import org.hornbeampass.router.relay.AddressRequest;
import org.hornbeampass.state.member.Member;
import org.hornbeampass.state.service.CallerLimits;

import java.util.List;
import java.util.function.Function;

/**
 * All that a VM needs to answer callers that ask for addresses, and checks of its readiness.
 *
 * <p>Immutable, and so must be what the selection uses; safe for use by any thread.
 *
 * @param atMs when it was made, in milliseconds
 * @param ready whether this VM accepts requests
 * @param keepMs how long callers may keep an answer about addresses, in milliseconds
 * @param limits the limits for callers
 * @param selection selects the VMs that an answer names
 */
record DirectorySnapshot(
        long atMs,
        boolean ready,
        long keepMs,
        CallerLimits limits,
        Function<AddressRequest, List<Member>> selection) {
    /** Stands for the time before the main event loop has published anything. */
    static final DirectorySnapshot NONE =
            new DirectorySnapshot(0, false, 0, CallerLimits.DEFAULT, r -> List.of());
}
