package org.hornbeampass.router.daemon;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hornbeampass.coordination.membership.Membership;
import org.hornbeampass.coordination.platform.PagedListing;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.member.ListedVm;
import org.hornbeampass.state.member.Member;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Reads the platform's list of VMs, which lags behind, and passes it to the membership.
 *
 * <p>The first {@value #READERS_PER_DOMAIN} live VMs of each failure domain read it often, and the
 * other VMs learn its content by gossip; they read it rarely, as a check. Confined to the control
 * loop.
 */
final class VmListReader {
    private static final Logger LOG = LogManager.getLogger(VmListReader.class);
    private static final String VM_PREFIX = "vms/";
    private static final int READERS_PER_DOMAIN = 2;
    private static final int PAGE_SIZE = 500;

    /**
     * Interval at which the readers read the list, in milliseconds. A new VM contacts its seeds and
     * becomes known by gossip; the list is needed only for a VM whose seeds are all down.
     */
    private static final long READER_INTERVAL_MS = 30_000;

    private static final long CHECK_INTERVAL_MS = 120_000;

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

    /** Starts to read the list if it is due. */
    void tick(long nowMs) {
        if (mReading || nowMs < mNextMs) {
            return;
        }
        mReading = true;
        long periodMs = isReader() ? READER_INTERVAL_MS : CHECK_INTERVAL_MS;
        mNextMs = nowMs + periodMs * 4 / 5 + (long) (mRandom.nextDouble() * periodMs * 2 / 5);
        read(nowMs, new PagedListing(VM_PREFIX, PAGE_SIZE));
    }

    private boolean isReader() {
        Member self = mMembership.view().self();
        return mMembership.view().live().stream()
                .filter(m -> m.domain().equals(self.domain()))
                .limit(READERS_PER_DOMAIN)
                .anyMatch(m -> m.vm().equals(self.vm()));
    }

    private void read(long nowMs, PagedListing listing) {
        mPlatform.submit(nowMs, listing.nextCall(), (t, reply) -> onPage(t, reply, listing));
    }

    private void onPage(long nowMs, PlatformReply reply, PagedListing listing) {
        if (!(reply instanceof PlatformReply.Listed page)) {
            mReading = false;
            return;
        }
        switch (listing.add(page)) {
            case MORE, RESTORED -> read(nowMs, listing);
            case COMPLETE -> {
                mReading = false;
                mMembership.onPlatformList(nowMs, listing.version(), vms(listing));
            }
            case NOT_ADVANCING -> {
                mReading = false;
                LOG.warn("{}: {}", VM_PREFIX, PagedListing.NO_END);
            }
            default -> throw new IllegalStateException("no such result of a page");
        }
    }

    private static List<ListedVm> vms(PagedListing listing) {
        List<ListedVm> vms = new ArrayList<>();
        for (StoredObject object : listing.objects()) {
            Json.decode(object.value(), ListedVm.class).forEach(vms::add);
        }
        return vms;
    }
}
