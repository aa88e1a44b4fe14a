package org.hornbeampass.coordination.ratelimit;

import org.hornbeampass.coordination.hash.RendezvousHash;

import java.util.List;
import java.util.Set;

/** How the permits of upstreams in their slow start are issued in a {@link RateLimitFleet}. */
enum Issuing {
    /** By three fixed VMs, a third of the rate each. */
    FIXED_VMS {
        @Override
        List<String> issuers(String upstream, Set<String> live, Set<String> known) {
            return RendezvousHash.choose(upstream, known, 3);
        }
    },
    /** By one VM of those that are up. */
    ONE_HOME {
        @Override
        List<String> issuers(String upstream, Set<String> live, Set<String> known) {
            return RendezvousHash.choose(upstream, live, 1);
        }
    },
    /** By four fixed VMs to themselves, without messages. */
    OWN_SHARES {
        @Override
        List<String> issuers(String upstream, Set<String> live, Set<String> known) {
            return RendezvousHash.choose(upstream, known, 4);
        }

        @Override
        boolean mayAsk(String self, String vm, Set<String> live) {
            return vm.equals(self);
        }
    };

    /** Returns the VMs that issue an upstream's permits. */
    abstract List<String> issuers(String upstream, Set<String> live, Set<String> known);

    /** Returns whether a VM may ask another one for permits. */
    boolean mayAsk(String self, String vm, Set<String> live) {
        return live.contains(vm);
    }
}
