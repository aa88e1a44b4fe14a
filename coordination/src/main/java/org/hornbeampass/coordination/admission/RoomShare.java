package org.hornbeampass.coordination.admission;

import java.util.function.IntSupplier;

/**
 * Shares the capacity of a service among VMs whose views of the free part are up to a second old,
 * for times when they ask for more than there is.
 *
 * <p>Each VM may always use an equal part of the capacity, so that none has to wait for others to
 * notice it. Of the free rest it takes the part that it has of the requests in progress, so that a
 * VM which alone has requests soon uses everything. Where more are in progress than the capacity
 * allows, VMs above their equal part give way by the same proportion. The limit is computed once
 * per {@link #VIEW_MS}: a view that has not changed must not be divided again. Confined to one
 * thread.
 */
public final class RoomShare implements PlaceLimit {
    /** For how long a limit stays in force: the interval of relayed load reports. */
    static final long VIEW_MS = 200;

    private final IntSupplier mVms;
    private long mNextMs = Long.MIN_VALUE;
    private int mPlaces;

    /** Creates the share of one VM; {@code vms} returns how many VMs share the service. */
    public RoomShare(IntSupplier vms) {
        mVms = vms;
    }

    @Override
    public int places(long nowMs, int capacity, int inFlight, int own) {
        if (nowMs < mNextMs) {
            return mPlaces;
        }
        mNextMs = nowMs + VIEW_MS;
        double equalPart = 1.0 / Math.max(1, mVms.getAsInt());
        double ownPart = Math.min(1, (double) own / Math.max(1, inFlight));
        int free = capacity - inFlight;
        double part = free > 0 ? Math.max(equalPart, ownPart) : ownPart;
        int guaranteed = (int) Math.ceil(capacity * equalPart);
        mPlaces = Math.max(guaranteed, own + (int) Math.floor(free * part));
        return mPlaces;
    }
}
