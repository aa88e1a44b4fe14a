package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.state.VmId;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Says which VM usually writes a shard; a wrong answer costs a lost race and nothing else.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface ShardOwners {
    /** What a shard's key for hashing starts with. */
    String KEY_PREFIX = "requests/";

    /** Returns the shard's owner as this VM sees it; empty where no member is known. */
    Optional<VmId> owner(int shard);

    /**
     * Returns the VM that would own a shard if the owner were gone, for an owner that can't reach
     * the platform; empty where there is none.
     */
    default Optional<VmId> backup(int shard) {
        return Optional.empty();
    }

    /**
     * Returns owners by rendezvous hashing.
     *
     * @param liveMembers gives the VMs that are live now, this one included
     */
    static ShardOwners rendezvous(Supplier<? extends Collection<VmId>> liveMembers) {
        return new ShardOwners() {
            @Override
            public Optional<VmId> owner(int shard) {
                return RendezvousHash.choose(KEY_PREFIX + shard, liveMembers.get());
            }

            @Override
            public Optional<VmId> backup(int shard) {
                return RendezvousHash.choose(KEY_PREFIX + shard, liveMembers.get(), 2).stream()
                        .skip(1)
                        .findFirst();
            }
        };
    }
}
