package org.hornbeampass.coordination.fleet;

import org.hornbeampass.coordination.config.PullReply;
import org.hornbeampass.coordination.membership.Ack;
import org.hornbeampass.coordination.membership.Gossip;
import org.hornbeampass.coordination.membership.MemberUpdate;
import org.hornbeampass.coordination.membership.Ping;
import org.hornbeampass.coordination.membership.Rumours;
import org.hornbeampass.coordination.membership.SyncReply;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.platform.MemoryPlatform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;

import java.util.List;

/**
 * A fleet with one rule deliberately broken, to prove the check that must catch it.
 *
 * <p>Immutable.
 */
enum FleetMutant {
    /** No rule is broken. */
    NONE,
    /** A create takes effect where the object exists. */
    CREATE_OVERWRITES {
        @Override
        PlatformCall call(MemoryPlatform store, PlatformCall call) {
            if (!(call instanceof PlatformCall.Create create)
                    || !create.key().startsWith("config/log/")) {
                return call;
            }
            PlatformCall[] rewritten = {call};
            store.submit(
                    0,
                    new PlatformCall.Get(create.key()),
                    (t, reply) -> {
                        if (reply instanceof PlatformReply.Found found) {
                            rewritten[0] =
                                    new PlatformCall.Update(
                                            create.key(), create.value(), found.object().version());
                        }
                    });
            return rewritten[0];
        }
    },
    /** A process that resumes has lost its memory but keeps its identity. */
    RESUME_FORGETS {
        @Override
        boolean resumeForgets() {
            return true;
        }
    },
    /** Nobody tells that a VM leaves. */
    LEAVING_IS_NOT_TOLD {
        @Override
        MemberUpdate update(MemberUpdate update) {
            return new MemberUpdate(
                    update.name(),
                    update.incarnation(),
                    update.counter(),
                    update.state() & ~1,
                    update.details());
        }
    },
    /** A refutation has the counter of the rumour that it refutes. */
    REFUTATION_IS_WEAK {
        @Override
        MemberUpdate update(MemberUpdate update) {
            return new MemberUpdate(
                    update.name(), update.incarnation(), 0, update.state(), update.details());
        }
    },
    /** Silence that lasts no time proves a VM gone that a list lacks. */
    ABSENCE_PROVES_GONE {
        @Override
        long silenceMs() {
            return 0;
        }
    },
    /** Acknowledgements come from VMs that no longer run. */
    DEAD_ANSWER {
        @Override
        boolean deadAnswer() {
            return true;
        }
    },
    /** Nobody reads the log, and pulls are not answered. */
    NOBODY_HEARS {
        @Override
        PlatformCall call(MemoryPlatform store, PlatformCall call) {
            if (call instanceof PlatformCall.Watch watch) {
                return new PlatformCall.Watch("nothing/", watch.afterVersion(), watch.maxWait());
            }
            return call instanceof PlatformCall.ListObjects
                    ? new PlatformCall.ListObjects("nothing/", "", 1)
                    : call;
        }

        @Override
        boolean relays() {
            return false;
        }
    },
    /** What a VM wrote does not look like its own when it reads it back. */
    OWN_WRITE_IS_NOT_RECOGNISED {
        @Override
        PlatformCall call(MemoryPlatform store, PlatformCall call) {
            if (!(call instanceof PlatformCall.Create create)
                    || !create.key().startsWith("config/log/")) {
                return call;
            }
            String other =
                    create.value()
                            .replace("\"writerSequence\":", "\"writerSequence\":7000")
                            .replace("\\\"proposal\\\":", "\\\"proposal\\\":7000");
            return new PlatformCall.Create(create.key(), other);
        }
    };

    PlatformCall call(MemoryPlatform store, PlatformCall call) {
        return call;
    }

    boolean resumeForgets() {
        return false;
    }

    MemberUpdate update(MemberUpdate update) {
        return update;
    }

    long silenceMs() {
        return FleetRun.SILENCE_MS;
    }

    boolean deadAnswer() {
        return false;
    }

    boolean relays() {
        return true;
    }

    PeerMessage message(PeerMessage message) {
        if (message instanceof Ping ping) {
            return new Ping(rumours(ping.rumours()));
        }
        if (message instanceof Ack ack) {
            return new Ack(rumours(ack.rumours()));
        }
        if (message instanceof Gossip gossip) {
            return new Gossip(rumours(gossip.rumours()));
        }
        if (message instanceof SyncReply sync) {
            return new SyncReply(sync.covered(), sync.more(), updates(sync.entries()));
        }
        if (message instanceof PullReply reply && !relays()) {
            return new PullReply(
                    reply.ready(), reply.newest(), reply.problem(), "", List.of("garbled"));
        }
        return message;
    }

    private Rumours rumours(Rumours rumours) {
        return new Rumours(
                rumours.digest(),
                rumours.revision(),
                rumours.upstreamsRevision(),
                updates(rumours.updates()));
    }

    private List<MemberUpdate> updates(List<MemberUpdate> updates) {
        return updates.stream().map(this::update).toList();
    }
}
