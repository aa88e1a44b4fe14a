package org.hornbeampass.coordination.platform;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * A platform that keeps versions of a former era of its store from being taken for present ones.
 *
 * <p>Invariants: a write or watch that rests on a former era is not sent; an answer that was given
 * before the store was restored counts as none; a write that the restored store applied to a reused
 * revision counts as one whose outcome is unknown. The store's era never decreases. Thread-safe if
 * the wrapped platform and the listeners are.
 */
public final class EraGuard implements Platform {
    private static final String RESTORED = "the store was restored meanwhile";

    private final Platform mStore;
    private final AtomicLong mEra = new AtomicLong();
    private final List<EraListener> mListeners = new CopyOnWriteArrayList<>();

    /** Creates a guard around a platform whose era is not known yet. */
    public EraGuard(Platform store) {
        mStore = store;
    }

    /** Adds a listener, which is called on the thread that learns of the era. */
    public void addListener(EraListener listener) {
        mListeners.add(listener);
    }

    /** Returns the store's era; 0 if it has not stated any. */
    public long era() {
        return mEra.get();
    }

    /**
     * Processes an era that the store or another VM states.
     *
     * @param nowMs the present time in milliseconds
     * @param era the era
     */
    public void onEra(long nowMs, long era) {
        long former = mEra.getAndAccumulate(era, Math::max);
        if (era > former) {
            mListeners.forEach(l -> l.onEra(nowMs, former, era));
        }
    }

    @Override
    public void submit(long nowMs, PlatformCall call, BiConsumer<Long, PlatformReply> done) {
        Runnable unused = submit(nowMs, call, AnswerProgress.IGNORED, done);
    }

    @Override
    public Runnable submit(
            long nowMs,
            PlatformCall call,
            AnswerProgress progress,
            BiConsumer<Long, PlatformReply> done) {
        OptionalLong base = call.baseVersion();
        if (base.isPresent() && StoreVersion.era(base.getAsLong()) < era()) {
            done.accept(nowMs, replyToOutdated(call));
            return () -> {};
        }
        return mStore.submit(
                nowMs,
                call,
                new GuardedProgress(progress),
                (t, reply) -> done.accept(t, checked(t, call, reply)));
    }

    /** Returns the reply of a store that does not have the version on which a call rests. */
    private static PlatformReply replyToOutdated(PlatformCall call) {
        return call.kind() == PlatformCall.Kind.WATCH
                ? new PlatformReply.WatchGap()
                : new PlatformReply.Conflict(Optional.empty());
    }

    private PlatformReply checked(long nowMs, PlatformCall call, PlatformReply reply) {
        OptionalLong stated = reply.statedVersion();
        if (stated.isEmpty()) {
            return reply;
        }
        long era = StoreVersion.era(stated.getAsLong());
        onEra(nowMs, era);
        if (era < era()) {
            return new PlatformReply.Unavailable(RESTORED);
        }
        OptionalLong base = call.baseVersion();
        boolean otherBase = base.isPresent() && StoreVersion.era(base.getAsLong()) != era;
        if (otherBase && reply instanceof PlatformReply.Changed) {
            return new PlatformReply.WatchGap();
        }
        return otherBase && reply instanceof PlatformReply.Written
                ? new PlatformReply.Unavailable(RESTORED)
                : reply;
    }

    /** Processes the era that the head of an answer states, which may have no version. */
    private final class GuardedProgress implements AnswerProgress {
        private final AnswerProgress mListener;

        GuardedProgress(AnswerProgress listener) {
            mListener = listener;
        }

        @Override
        public void onBytes(long nowMs, int bytes) {
            mListener.onBytes(nowMs, bytes);
        }

        @Override
        public void onEra(long nowMs, long era) {
            EraGuard.this.onEra(nowMs, era);
            mListener.onEra(nowMs, era);
        }
    }
}
