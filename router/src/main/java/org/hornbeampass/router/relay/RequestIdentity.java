package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.quarantine.RequestDigest;
import org.hornbeampass.coordination.quarantine.RequestHasher;
import org.hornbeampass.coordination.quarantine.RequestStanding;
import org.hornbeampass.coordination.quarantine.SuspectTable;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What tells the repeats of one request from other requests: path, caller and body.
 *
 * <p>Computed when it is first asked for, which must be before the body is passed on. Of a body
 * that is larger than what is kept, the kept part counts. Confined to one event loop.
 */
final class RequestIdentity {
    private final RequestHasher mHasher;
    private final String mTarget;
    private final String mCaller;
    private final RequestBody mBody;
    private OptionalLong mScope = OptionalLong.empty();
    private Optional<RequestDigest> mDigest = Optional.empty();

    RequestIdentity(RequestHasher hasher, String target, String caller, RequestBody body) {
        mHasher = hasher;
        mTarget = target;
        mCaller = caller;
        mBody = body;
    }

    /** Returns the hash of path and caller alone. */
    long scope() {
        if (mScope.isEmpty()) {
            mScope = OptionalLong.of(mHasher.scope(mTarget, mCaller));
        }
        return mScope.getAsLong();
    }

    /**
     * Returns the verdict on the request; the body is read only where its path and caller are
     * known.
     */
    RequestStanding standing(SuspectTable suspects) {
        return suspects.isEmpty() || !suspects.knowsScope(scope())
                ? RequestStanding.UNSUSPECTED
                : suspects.standing(digest());
    }

    /** Returns the digest of the request. */
    RequestDigest digest() {
        if (mDigest.isEmpty()) {
            long content = mHasher.content(mBody.kept(), RequestBody.MAX_KEPT_BYTES);
            mDigest = Optional.of(new RequestDigest(scope(), content));
        }
        return mDigest.get();
    }
}
