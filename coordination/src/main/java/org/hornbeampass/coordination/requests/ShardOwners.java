package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.hash.RendezvousHash;
import org.hornbeampass.state.VmId;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Determines which VM usually writes a shard; a wrong answer costs no more than a lost race for a
 * sequence.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface ShardOwners {
    /** Prefix of the key by which a shard is hashed. */
    String KEY_PREFIX = "requests/";

    /** Returns the owner of a shard according to this VM; empty if no member is known. */
    Optional<VmId> owner(int shard);

    /**
     * Returns the VM that would own a shard if the owner were gone, used by an owner that can't
     * reach the platform; empty if there is none.
     */
    default Optional<VmId> backup(int shard) {
        return Optional.empty();
    }

    /**
     * Returns an implementation that assigns owners by rendezvous hashing.
     *
     * @param liveMembers provides the VMs that are live now, including this one
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
