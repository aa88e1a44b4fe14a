package org.hornbeampass.coordination.escrow;

import org.hornbeampass.coordination.platform.StoreVersion;

import java.util.Optional;

/**
 * Holds the record of one pool as last read from the store, and what is known of it beyond that
 * after the store was restored from an older copy.
 *
 * <p>Invariant: {@link #known} shows each token as granted that the record in the store shows, or
 * that the last known record of a former era showed, until this VM has written it again. Not
 * thread-safe; must be used on one thread.
 */
final class KnownRecords {
    /**
     * A record as it was read or written, or several of them merged.
     *
     * @param record the record
     * @param version the version at which the store had it
     * @param merged whether the store had it only in parts
     */
    private record Seen(EscrowRecord record, long version, boolean merged) {
        static Seen of(EscrowRecord record, long version) {
            return new Seen(record, version, false);
        }

        /** Returns the later one if it is based on the other, otherwise the largest grants. */
        Seen with(Seen other) {
            if (!isOfSameHistory(other)) {
                return new Seen(
                        record.mergedWith(other.record), Math.max(version, other.version), true);
            }
            return other.version > version ? other : this;
        }

        private boolean isOfSameHistory(Seen other) {
            return !merged
                    && !other.merged
                    && StoreVersion.isSameEra(version, other.version)
                    && record.era() == other.record.era();
        }
    }

    private static final Seen NONE = new Seen(EscrowRecord.empty(), 0, false);

    private Seen mInStore = NONE;
    private Optional<Seen> mForgotten = Optional.empty();
    private Optional<Seen> mSentForgotten = Optional.empty();
    private Optional<Seen> mReported = Optional.empty();
    private EscrowRecord mKnown = EscrowRecord.empty();
    private long mEra;
    private boolean mRead;
    private boolean mWitnessed;

    /** Returns the store's era; 0 if it states none. */
    long era() {
        return mEra;
    }

    /** Returns the record as last read from the store or written to it. */
    EscrowRecord inStore() {
        return mInStore.record();
    }

    /** Returns the record with all grants that are known, on which the next write is based. */
    EscrowRecord known() {
        return mKnown;
    }

    /** Returns the version of the last write that {@link #known} contains. */
    long version() {
        return extended().version();
    }

    /** Returns whether the store may lack grants that this VM knows. */
    boolean hasForgottenGrants() {
        return mForgotten.isPresent();
    }

    /** Returns whether the record in the store was written before the store was restored. */
    boolean isOfFormerEra() {
        return mInStore.record().era() < mEra;
    }

    /**
     * Returns whether tokens may have been granted in a former era that neither the record in the
     * store nor this VM knows of.
     */
    boolean mayLackUnknownGrants() {
        return isOfFormerEra() && !mWitnessed;
    }

    /** Returns whether this VM was told of the last grants of the former era. */
    boolean isWitnessed() {
        return mWitnessed;
    }

    /** Sets the record as read from the store. */
    void onRead(EscrowRecord record, long version) {
        Seen read = Seen.of(record, version);
        // A writer that has not learnt of the era may have replaced a record of that era.
        if (mRead && record.era() < mInStore.record().era()) {
            keepKnown();
            mWitnessed = true;
        }
        mRead = true;
        mInStore = read;
        mKnown = extended().record();
    }

    /** Records that a write based on {@link #known} is sent. */
    void onWriteSent() {
        mSentForgotten = mForgotten;
    }

    /** Sets the record that this VM has written, based on what was known when it was sent. */
    void onWritten(EscrowRecord record, long version) {
        mRead = true;
        if (mForgotten.equals(mSentForgotten)) {
            mForgotten = Optional.empty();
        }
        mInStore = Seen.of(record, version);
        mReported = mReported.filter(r -> StoreVersion.isSameEra(r.version(), mInStore.version()));
        mKnown = extended().record();
    }

    /** Records what another VM has written, or what it knows of a former era. */
    void onReported(EscrowRecord record, long version) {
        Seen reported = Seen.of(record, version);
        if (record.era() < mEra) {
            mForgotten = Optional.of(mForgotten.map(f -> f.with(reported)).orElse(reported));
            mWitnessed = true;
            mKnown = extended().record();
            return;
        }
        mReported = Optional.of(mReported.map(r -> r.with(reported)).orElse(reported));
    }

    /**
     * Handles that the store was restored, so that it may lack grants that this VM knows.
     *
     * @param era the store's present era
     * @param home whether this VM is told of each write
     */
    void beginEra(long era, boolean home) {
        mEra = era;
        keepKnown();
        mWitnessed = home && mForgotten.isPresent();
        mKnown = extended().record();
    }

    private void keepKnown() {
        Optional<Seen> known = mRead ? Optional.of(extended()) : Optional.empty();
        mForgotten = known.map(k -> mReported.map(k::with).orElse(k)).or(() -> mReported);
    }

    /** Returns the record in the store with the grants that it may lack. */
    private Seen extended() {
        return mForgotten.map(mInStore::with).orElse(mInStore);
    }
}
