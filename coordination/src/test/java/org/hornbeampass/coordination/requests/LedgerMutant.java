package org.hornbeampass.coordination.requests;

import org.hornbeampass.coordination.log.LogBatch;
import org.hornbeampass.coordination.platform.Platform;
import org.hornbeampass.coordination.platform.PlatformCall;
import org.hornbeampass.coordination.platform.PlatformReply;
import org.hornbeampass.state.Json;

import java.util.List;
import java.util.function.UnaryOperator;

/**
 * Faults that are injected deliberately, each of which a check must detect.
 *
 * <p>Immutable; safe for use by any thread.
 */
enum LedgerMutant {
    /** No fault. */
    NONE,
    /** A conditional create overwrites an existing object. */
    CREATE_OVERWRITES,
    /** A create is answered as written before it reaches the platform. */
    ACKNOWLEDGE_BEFORE_WRITE,
    /** A VM runs a call whose claim was not answered in time. */
    RUN_WITHOUT_ANSWER,
    /** A VM runs a call although another attempt holds the claim. */
    RUN_WHEN_HELD,
    /** Outcomes are altered before they are written to the log. */
    OUTCOMES_ALTERED,
    /** A VM settles its whole bill although only the difference was charged. */
    RAISE_SETTLES_WHOLE,
    /** Amounts of bills are altered before they are written to the log. */
    AMOUNTS_ALTERED,
    /** Withdrawals are not written to the log. */
    WITHDRAWALS_DROPPED;

    /** Returns the platform as a VM with this fault accesses it. */
    Platform apply(Platform platform) {
        return switch (this) {
            case CREATE_OVERWRITES ->
                    (nowMs, call, done) ->
                            platform.submit(
                                    nowMs,
                                    call,
                                    (atMs, reply) -> overwrite(platform, atMs, call, reply, done));
            case ACKNOWLEDGE_BEFORE_WRITE ->
                    (nowMs, call, done) -> {
                        if (call instanceof PlatformCall.Create) {
                            platform.submit(nowMs, call, (atMs, reply) -> {});
                            done.accept(nowMs, new PlatformReply.Written(1));
                        } else {
                            platform.submit(nowMs, call, done);
                        }
                    };
            case OUTCOMES_ALTERED ->
                    (nowMs, call, done) -> platform.submit(nowMs, withAlteredOutcomes(call), done);
            case AMOUNTS_ALTERED ->
                    (nowMs, call, done) -> platform.submit(nowMs, withLargerBills(call), done);
            case WITHDRAWALS_DROPPED ->
                    (nowMs, call, done) -> platform.submit(nowMs, withoutWithdrawals(call), done);
            default -> platform;
        };
    }

    private static void overwrite(
            Platform platform,
            long nowMs,
            PlatformCall call,
            PlatformReply reply,
            java.util.function.BiConsumer<Long, PlatformReply> done) {
        if (call instanceof PlatformCall.Create create
                && reply instanceof PlatformReply.Conflict conflict
                && conflict.current().isPresent()) {
            PlatformCall update =
                    new PlatformCall.Update(
                            create.key(), create.value(), conflict.current().get().version());
            platform.submit(nowMs, update, done);
        } else {
            done.accept(nowMs, reply);
        }
    }

    private static PlatformCall withAlteredOutcomes(PlatformCall call) {
        return call instanceof PlatformCall.Create create
                ? new PlatformCall.Create(
                        create.key(), create.value().replace("done by", "not done by"))
                : call;
    }

    /** Changes the single prompt token of every bill into nine. */
    private static PlatformCall withLargerBills(PlatformCall call) {
        return changeEntries(
                call,
                all ->
                        all.stream()
                                .map(e -> e.startsWith("B") ? e.replace("],1,", "],9,") : e)
                                .toList());
    }

    private static PlatformCall withoutWithdrawals(PlatformCall call) {
        return changeEntries(call, all -> all.stream().filter(e -> !e.startsWith("W")).toList());
    }

    private static PlatformCall changeEntries(
            PlatformCall call, UnaryOperator<List<String>> change) {
        if (!(call instanceof PlatformCall.Create create)
                || !create.key().startsWith("requests/")
                || create.key().equals(SettingsAgreement.KEY)) {
            return call;
        }
        LogBatch batch = Json.decode(create.value(), LogBatch.class).get();
        LogBatch changed =
                new LogBatch(
                        batch.sequence(),
                        batch.writer(),
                        batch.writerSequence(),
                        change.apply(batch.entries()));
        return new PlatformCall.Create(create.key(), Json.encode(changed));
    }
}
