package org.hornbeampass.router.relay;

import org.hornbeampass.coordination.quarantine.QuarantineStatus;
import org.hornbeampass.coordination.quarantine.RequestHasher;
import org.hornbeampass.coordination.quarantine.SuspectDigest;
import org.hornbeampass.coordination.quarantine.SuspectTable;
import org.hornbeampass.state.service.Prompt;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;

/**
 * Identifies what crashes during a request may be attributed to: the request, whose repeats share
 * host, path, caller and body, and the parts of its prompt that other requests may share.
 *
 * <p>The digest is computed when it is first requested, which must happen before the body is
 * forwarded. Of a body that is too large to be kept, only the kept part is hashed. Confined to one
 * event loop.
 */
final class RequestIdentity {
    /** The largest number of prompt parts in a log line, whose length callers choose otherwise. */
    private static final int MAX_LOGGED_PARTS = 8;

    private final RequestHasher mHasher;
    private final String mHost;
    private final String mPath;
    private final String mCaller;
    private final RequestBody mBody;
    private final Prompt mPrompt;
    private OptionalLong mScope = OptionalLong.empty();
    private Optional<SuspectDigest> mDigest = Optional.empty();

    /** The digests of the shared prompt parts with their identifiers; empty until computed. */
    private Optional<Map<SuspectDigest, String>> mParts = Optional.empty();

    RequestIdentity(
            RequestHasher hasher, CallerHead head, String path, String caller, RequestBody body) {
        mHasher = hasher;
        mHost = head.host();
        mPath = path;
        mCaller = caller;
        mBody = body;
        mPrompt = head.prompt();
    }

    private long scope() {
        if (mScope.isEmpty()) {
            long bytes = Math.min(mBody.bytes(), RequestBody.MAX_KEPT_BYTES);
            mScope = OptionalLong.of(mHasher.hashScope(mHost, mPath, mCaller, bytes));
        }
        return mScope.getAsLong();
    }

    /**
     * Returns the quarantine status of the request or of the part of its prompt that is suspected
     * most; the body is hashed only where the request's scope is suspected.
     */
    QuarantineStatus status(SuspectTable suspects) {
        QuarantineStatus status = QuarantineStatus.UNSUSPECTED;
        for (SuspectDigest each : suspected(suspects)) {
            QuarantineStatus other = suspects.status(each);
            status = other.compareTo(status) > 0 ? other : status;
        }
        return status;
    }

    /** Returns the quarantined ones among the request and the shared parts of its prompt. */
    List<SuspectDigest> quarantined(SuspectTable suspects) {
        return suspected(suspects).stream()
                .filter(d -> suspects.status(d) == QuarantineStatus.QUARANTINED)
                .toList();
    }

    /** Returns what the table may hold of the request and the shared parts of its prompt. */
    private Set<SuspectDigest> suspected(SuspectTable suspects) {
        if (suspects.isEmpty()) {
            return Set.of();
        }
        Set<SuspectDigest> suspected = new LinkedHashSet<>();
        if (suspects.containsScope(scope())) {
            suspected.add(digest());
        }
        if (suspects.containsParts()) {
            suspected.addAll(parts());
        }
        return suspected;
    }

    /** Returns whether a predicate holds for the scope of the request's digest. */
    boolean hasScope(LongPredicate scopes) {
        return scopes.test(scope());
    }

    /** Returns the digest of the request. */
    SuspectDigest digest() {
        if (mDigest.isEmpty()) {
            long content = mHasher.hashContent(mBody.keptParts(), RequestBody.MAX_KEPT_BYTES);
            mDigest = Optional.of(SuspectDigest.ofRequest(scope(), content));
        }
        return mDigest.get();
    }

    /** Returns the digests of the request and of the shared parts of its prompt. */
    Set<SuspectDigest> all() {
        Set<SuspectDigest> all = new LinkedHashSet<>();
        all.add(digest());
        all.addAll(parts());
        return all;
    }

    /** Returns the digests of the parts of the prompt that other requests may share. */
    Set<SuspectDigest> parts() {
        return partIds().keySet();
    }

    /** Returns the identifier of a prompt part; empty if the digest is the request's own. */
    Optional<String> partId(SuspectDigest digest) {
        return Optional.ofNullable(partIds().get(digest));
    }

    /**
     * Returns the identifiers of the shared prompt parts, at most a few of them, for a log line.
     */
    String loggedPartIds() {
        return mPrompt.sharedPartIds().stream()
                .limit(MAX_LOGGED_PARTS)
                .collect(Collectors.joining(" "));
    }

    private Map<SuspectDigest, String> partIds() {
        if (mParts.isEmpty()) {
            Map<SuspectDigest, String> ids = new LinkedHashMap<>();
            mPrompt.sharedPartIds().forEach(id -> ids.put(mHasher.partDigest(id), id));
            mParts = Optional.of(ids);
        }
        return mParts.get();
    }
}
