package org.hornbeampass.standin.engine;

import io.vavr.control.Either;

import org.hornbeampass.standin.admin.Answers;
import org.hornbeampass.standin.admin.FaultRule;
import org.hornbeampass.standin.admin.Faults;
import org.hornbeampass.standin.admin.SerialLoop;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.PromptTokens;
import org.hornbeampass.transport.http.HttpExchange;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Takes chat completions, drives the engine's model in real time, and sends what it generates.
 *
 * <p>Invariant: a request that is refused has not run and is not in the ledger. All methods run on
 * the engine's loop. Not thread-safe.
 */
final class Completions {
    private static final int MAX_PRIORITY = 9;
    private static final int DEFAULT_PRIORITY = 5;
    private static final int STATUS_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long FROZEN_POLL_MS = 10;
    private static final long MS_PER_SECOND = 1_000;

    private final SerialLoop mLoop;
    private final EngineModel mModel;
    private final Catalogue mCatalogue;
    private final Faults<EngineFault> mFaults;
    private final int mMeanAnswerTokens;
    private final RunLedger mLedger = new RunLedger();
    private final Map<String, AnswerStream> mOpen = new HashMap<>();
    private long mTickAtMs = Long.MAX_VALUE;
    private long mNameless;

    Completions(
            SerialLoop loop,
            EngineModel model,
            Catalogue catalogue,
            Faults<EngineFault> faults,
            int meanAnswerTokens) {
        mLoop = loop;
        mModel = model;
        mCatalogue = catalogue;
        mFaults = faults;
        mMeanAnswerTokens = meanAnswerTokens;
    }

    RunLedger ledger() {
        return mLedger;
    }

    /** Takes a completion, or refuses it. */
    void take(long nowMs, HttpExchange exchange) {
        if (mFaults.take(EngineFault.ERROR).isPresent()) {
            Answers.error(exchange, STATUS_ERROR, "the engine met a fault before the run");
            return;
        }
        Either<Failure, ChatRequest> request = ChatRequest.parse(Answers.text(exchange));
        if (request.isLeft()) {
            Answers.error(exchange, Answers.BAD_REQUEST, request.getLeft().message());
            return;
        }
        Optional<ServedModel> model = mCatalogue.find(request.get().model());
        if (model.isEmpty()) {
            Answers.error(exchange, Answers.NOT_FOUND, "no such model: " + request.get().model());
            return;
        }
        if (model.get().readyVersion().isEmpty()) {
            Answers.error(exchange, STATUS_UNAVAILABLE, "the model is loading");
            return;
        }
        offer(nowMs, exchange, request.get());
    }

    /** Cancels an attempt; returns how many tokens it had generated, where it was open. */
    OptionalInt cancel(long nowMs, String attemptId) {
        AnswerStream stream = mOpen.get(attemptId);
        if (stream == null) {
            return OptionalInt.empty();
        }
        end(nowMs, stream, RunLedger.State.CANCELLED);
        stream.abort();
        return OptionalInt.of(stream.generated());
    }

    private void offer(long nowMs, HttpExchange exchange, ChatRequest request) {
        Optional<EngineJob> job = job(exchange, request);
        if (job.isEmpty()) {
            Answers.error(
                    exchange, Answers.BAD_REQUEST, EngineHeaders.RESUME_OFFSET + " is not valid");
            return;
        }
        followStandingFaults(nowMs);
        EngineModel.Offer offer = mModel.offer(nowMs, job.get());
        if (offer != EngineModel.Offer.ACCEPTED) {
            Answers.error(exchange, STATUS_UNAVAILABLE, "not taken: " + offer);
            return;
        }
        open(nowMs, exchange, request, job.get());
        scheduleTick(nowMs);
    }

    private void open(long nowMs, HttpExchange exchange, ChatRequest request, EngineJob job) {
        Optional<FaultRule> drop = mFaults.take(EngineFault.DROP_STREAM);
        OptionalLong dropAfter =
                drop.isPresent() ? OptionalLong.of(drop.get().wholeAmount()) : OptionalLong.empty();
        ChatBodies.Head head =
                new ChatBodies.Head(job.attemptId(), nowMs / MS_PER_SECOND, request.model());
        AnswerStream stream = new AnswerStream(exchange, job, head, request, dropAfter);
        mOpen.put(job.attemptId(), stream);
        mLedger.accepted(job);
        exchange.onCallerGone(() -> mLoop.run(now -> callerGone(now, stream)));
    }

    private Optional<EngineJob> job(HttpExchange exchange, ChatRequest request) {
        String prompt = request.prompt();
        int natural = AnswerText.naturalLength(prompt, mMeanAnswerTokens);
        int limit = request.maxTokens().orElse(Integer.MAX_VALUE);
        int end = Math.min(natural, limit);
        OptionalInt from = number(exchange, EngineHeaders.RESUME_OFFSET, 0, 0, end);
        OptionalInt priority =
                number(exchange, EngineHeaders.PRIORITY, DEFAULT_PRIORITY, 0, MAX_PRIORITY);
        if (from.isEmpty()) {
            return Optional.empty();
        }
        String nameless = "nameless-" + mNameless++;
        String requestId = exchange.header(EngineHeaders.REQUEST_ID).orElse(nameless);
        return Optional.of(
                new EngineJob(
                        requestId,
                        exchange.header(EngineHeaders.ATTEMPT_ID).orElse(nameless),
                        priority.orElse(DEFAULT_PRIORITY),
                        new EngineJob.Prompt(
                                PromptTokens.count(prompt.length()),
                                PromptTokens.blockHashes(prompt)),
                        new EngineJob.Answer(
                                AnswerText.tag(requestId, prompt),
                                from.getAsInt(),
                                end,
                                natural > limit)));
    }

    private static OptionalInt number(
            HttpExchange exchange, String header, int absent, int least, int most) {
        Optional<String> text = exchange.header(header);
        if (text.isEmpty()) {
            return OptionalInt.of(absent);
        }
        try {
            int number = Integer.parseInt(text.get());
            return number < least || number > most ? OptionalInt.empty() : OptionalInt.of(number);
        } catch (NumberFormatException e) {
            return OptionalInt.empty();
        }
    }

    private void callerGone(long nowMs, AnswerStream stream) {
        if (mOpen.get(stream.job().attemptId()) == stream) {
            end(nowMs, stream, RunLedger.State.CANCELLED);
        }
    }

    private void end(long nowMs, AnswerStream stream, RunLedger.State how) {
        String attemptId = stream.job().attemptId();
        mOpen.remove(attemptId);
        mModel.cancel(nowMs, attemptId);
        mLedger.ended(attemptId, how);
    }

    private void tick(long nowMs, long dueMs) {
        if (dueMs != mTickAtMs) {
            return;
        }
        mTickAtMs = Long.MAX_VALUE;
        followStandingFaults(nowMs);
        for (EngineEvent event : mModel.step(nowMs)) {
            AnswerStream stream = mOpen.get(event.job().attemptId());
            if (stream != null) {
                pass(nowMs, event, stream);
            }
        }
        scheduleTick(nowMs);
    }

    private void pass(long nowMs, EngineEvent event, AnswerStream stream) {
        if (event instanceof EngineEvent.Token token) {
            mLedger.generated(event.job().attemptId(), stream.generated() + 1);
            if (stream.token(token.offset())) {
                end(nowMs, stream, RunLedger.State.DROPPED);
                stream.abort();
            }
            return;
        }
        end(nowMs, stream, RunLedger.State.COMPLETED);
        stream.finish();
    }

    private void scheduleTick(long nowMs) {
        long nextMs =
                frozen() && !mOpen.isEmpty()
                        ? nowMs + FROZEN_POLL_MS
                        : mModel.nextStepAt().orElse(Long.MAX_VALUE);
        if (nextMs < mTickAtMs) {
            mTickAtMs = nextMs;
            mLoop.at(nextMs, now -> tick(now, nextMs));
        }
    }

    private void followStandingFaults(long nowMs) {
        mModel.setSlowFactor(mFaults.standing(EngineFault.SLOW).map(FaultRule::amount).orElse(1.0));
        mModel.setFrozen(nowMs, frozen());
    }

    private boolean frozen() {
        return mFaults.standing(EngineFault.FREEZE).isPresent();
    }
}
