package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.member.ListedVm;
import org.hornbeampass.state.member.Member;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Reads the platform's lagging list of VMs and hands it to the membership.
 *
 * <p>The first {@value #READERS} live VMs of each failure domain read it often, and others hear
 * what it says by gossip; all others read it seldom, as a check. Used on the control loop only.
 */
final class VmListReader {
    private static final String PREFIX = "vms/";
    private static final int READERS = 2;
    private static final int PAGE = 500;

    /**
     * How often the readers look, in milliseconds. A new VM asks its seeds and is spread by gossip;
     * the list is for one whose seeds are all down.
     */
    private static final long OFTEN_MS = 30_000;

    private static final long SELDOM_MS = 120_000;

    private final Membership mMembership;
    private final Platform mPlatform;
    private final Random mRandom;
    private long mNextMs;
    private boolean mReading;

    VmListReader(Membership membership, Platform platform, Random random) {
        mMembership = membership;
        mPlatform = platform;
        mRandom = random;
    }

    /** Starts to read the list where it is time. */
    void tick(long nowMs) {
        if (mReading || nowMs < mNextMs) {
            return;
        }
        mReading = true;
        long periodMs = readsOften() ? OFTEN_MS : SELDOM_MS;
        mNextMs = nowMs + periodMs * 4 / 5 + (long) (mRandom.nextDouble() * periodMs * 2 / 5);
        read(nowMs, "", new ArrayList<>());
    }

    private boolean readsOften() {
        Member self = mMembership.view().self();
        return mMembership.view().live().stream()
                .filter(m -> m.domain().equals(self.domain()))
                .limit(READERS)
                .anyMatch(m -> m.vm().equals(self.vm()));
    }

    private void read(long nowMs, String after, List<ListedVm> sofar) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.ListObjects(PREFIX, after, PAGE),
                (t, reply) -> take(t, reply, sofar));
    }

    private void take(long nowMs, PlatformReply reply, List<ListedVm> sofar) {
        if (!(reply instanceof PlatformReply.Listed listed)) {
            mReading = false;
            return;
        }
        for (StoredObject object : listed.objects()) {
            Json.decode(object.value(), ListedVm.class).forEach(sofar::add);
        }
        if (listed.more() && !listed.objects().isEmpty()) {
            read(nowMs, listed.objects().get(listed.objects().size() - 1).key(), sofar);
            return;
        }
        mReading = false;
        mMembership.onPlatformList(nowMs, listed.storeVersion(), sofar);
    }
}
