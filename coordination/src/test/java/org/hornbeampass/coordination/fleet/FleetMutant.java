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
 * Deliberate faults of the fleet, each of which a check has to detect.
 *
 * <p>Immutable.
 */
enum FleetMutant {
    /** No fault. */
    NONE,
    /** A create overwrites an existing object. */
    CREATE_OVERWRITES {
        @Override
        PlatformCall rewriteCall(MemoryPlatform store, PlatformCall call) {
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
    /** A resumed process has lost its state but keeps its incarnation. */
    RESUME_LOSES_STATE {
        @Override
        boolean resumeLosesState() {
            return true;
        }
    },
    /** Updates omit that a VM is leaving. */
    LEAVING_IS_NOT_ANNOUNCED {
        @Override
        MemberUpdate rewriteUpdate(MemberUpdate update) {
            return new MemberUpdate(
                    update.name(),
                    update.incarnation(),
                    update.counter(),
                    update.state() & ~1,
                    update.details());
        }
    },
    /**
     * Updates always have the counter 0, so that a refutation does not override the report that it
     * refutes.
     */
    REFUTATION_RESETS_COUNTER {
        @Override
        MemberUpdate rewriteUpdate(MemberUpdate update) {
            return new MemberUpdate(
                    update.name(), update.incarnation(), 0, update.state(), update.details());
        }
    },
    /** A VM that is missing in a list is proved gone without any time of silence. */
    ABSENCE_PROVES_GONE {
        @Override
        long silenceMs() {
            return 0;
        }
    },
    /** VMs that should have stopped still reply to probes. */
    STOPPED_VM_ACKNOWLEDGES {
        @Override
        boolean stoppedVmAcknowledges() {
            return true;
        }
    },
    /** No VM can read the log, and replies to pulls are garbled. */
    CHANGES_ARE_NOT_DELIVERED {
        @Override
        PlatformCall rewriteCall(MemoryPlatform store, PlatformCall call) {
            if (call instanceof PlatformCall.Watch watch) {
                return new PlatformCall.Watch("nothing/", watch.afterVersion(), watch.maxWait());
            }
            return call instanceof PlatformCall.ListObjects
                    ? new PlatformCall.ListObjects("nothing/", "", 1)
                    : call;
        }

        @Override
        boolean answersPulls() {
            return false;
        }
    },
    /** A VM does not recognise its own batch when it reads it back. */
    OWN_WRITE_IS_NOT_RECOGNISED {
        @Override
        PlatformCall rewriteCall(MemoryPlatform store, PlatformCall call) {
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

    PlatformCall rewriteCall(MemoryPlatform store, PlatformCall call) {
        return call;
    }

    boolean resumeLosesState() {
        return false;
    }

    MemberUpdate rewriteUpdate(MemberUpdate update) {
        return update;
    }

    long silenceMs() {
        return FleetRun.SILENCE_MS;
    }

    boolean stoppedVmAcknowledges() {
        return false;
    }

    boolean answersPulls() {
        return true;
    }

    PeerMessage rewriteMessage(PeerMessage message) {
        if (message instanceof Ping ping) {
            return new Ping(rewriteRumours(ping.rumours()));
        }
        if (message instanceof Ack ack) {
            return new Ack(rewriteRumours(ack.rumours()));
        }
        if (message instanceof Gossip gossip) {
            return new Gossip(rewriteRumours(gossip.rumours()));
        }
        if (message instanceof SyncReply sync) {
            return new SyncReply(sync.covered(), sync.more(), rewriteUpdates(sync.entries()));
        }
        if (message instanceof PullReply reply && !answersPulls()) {
            return new PullReply(
                    reply.ready(), reply.newest(), reply.problem(), "", List.of("garbled"));
        }
        return message;
    }

    private Rumours rewriteRumours(Rumours rumours) {
        return new Rumours(
                rumours.digest(), rumours.revisions(), rewriteUpdates(rumours.updates()));
    }

    private List<MemberUpdate> rewriteUpdates(List<MemberUpdate> updates) {
        return updates.stream().map(this::rewriteUpdate).toList();
    }
}
