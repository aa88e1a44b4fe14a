package org.hornbeampass.coordination.requests;

import io.vavr.control.Either;

import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.ErrorKind;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.requests.BudgetTotals;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Reads a shard's checkpoint, part by part.
 *
 * <p>A missing part was deleted after the manifest had been read; the run then fails and the caller
 * starts over. Each instance serves one run; each step starts when the previous one's reply has
 * arrived, so no lock is needed.
 */
final class CheckpointLoader {
    private final Platform mPlatform;
    private final CheckpointKeys mKeys;
    private final Retention mRetention;
    private final BiConsumer<Long, Either<Failure, ShardState>> mDone;
    private final Deque<Part> mParts = new ArrayDeque<>();
    private final ClaimTable mClaims = new ClaimTable();
    private final Map<BudgetKey, BudgetTotals> mTotals = new HashMap<>();

    /** A part still to be read, and the function that decodes it. */
    private record Part(String key, Function<String, Either<Failure, Boolean>> reader) {}

    CheckpointLoader(
            Platform platform,
            CheckpointKeys keys,
            Retention retention,
            BiConsumer<Long, Either<Failure, ShardState>> done) {
        mPlatform = platform;
        mKeys = keys;
        mRetention = retention;
        mDone = done;
    }

    /** Starts reading; the result is the state of an empty log if there is no checkpoint. */
    void start(long nowMs) {
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(mKeys.manifest()),
                (atMs, reply) -> {
                    if (reply instanceof PlatformReply.Missing) {
                        mDone.accept(atMs, Either.right(new ShardState(mRetention)));
                    } else if (reply instanceof PlatformReply.Found found) {
                        Json.decode(found.object().value(), CheckpointManifest.class)
                                .peek(manifest -> readParts(atMs, manifest))
                                .peekLeft(f -> mDone.accept(atMs, Either.left(f)));
                    } else {
                        mDone.accept(atMs, Either.left(unavailable(mKeys.manifest())));
                    }
                });
    }

    private void readParts(long nowMs, CheckpointManifest manifest) {
        RecentBills bills = new RecentBills(manifest.openNumber());
        for (CheckpointManifest.GenerationParts each : manifest.generations()) {
            RecentBills.Generation generation = new RecentBills.Generation(each.number());
            bills.addClosed(generation);
            for (int i = 0; i < each.parts(); i++) {
                mParts.add(
                        new Part(
                                mKeys.generation(each.number(), i),
                                text -> CheckpointParts.decodeGeneration(text, generation)));
            }
        }
        for (int i = 0; i < manifest.claimParts(); i++) {
            mParts.add(
                    new Part(
                            mKeys.claims(manifest.openNumber(), i),
                            text -> CheckpointParts.decodeClaims(text, mClaims)));
        }
        for (int i = 0; i < manifest.totalParts(); i++) {
            mParts.add(
                    new Part(
                            mKeys.totals(manifest.openNumber(), i),
                            text -> CheckpointParts.decodeTotals(text, mTotals)));
        }
        ShardState state =
                new ShardState(
                        mRetention,
                        manifest.nextSequence(),
                        new ActiveClock(manifest.clock()),
                        bills,
                        mClaims,
                        mTotals);
        readNext(nowMs, state);
    }

    private void readNext(long nowMs, ShardState state) {
        Part part = mParts.pollFirst();
        if (part == null) {
            state.bills().trimClosed();
            mDone.accept(nowMs, Either.right(state));
            return;
        }
        mPlatform.submit(
                nowMs,
                new PlatformCall.Get(part.key()),
                (atMs, reply) -> {
                    if (!(reply instanceof PlatformReply.Found found)) {
                        mDone.accept(atMs, Either.left(unavailable(part.key())));
                        return;
                    }
                    part.reader()
                            .apply(found.object().value())
                            .peek(read -> readNext(atMs, state))
                            .peekLeft(f -> mDone.accept(atMs, Either.left(f)));
                });
    }

    private static Failure unavailable(String key) {
        return Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "the platform did not return " + key);
    }
}
