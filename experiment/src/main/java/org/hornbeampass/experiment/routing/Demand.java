package org.hornbeampass.experiment.routing;

import org.hornbeampass.coordination.limit.Deadline;
import org.hornbeampass.coordination.routing.RoutingQuery;
import org.hornbeampass.standin.engine.EngineJob;
import org.hornbeampass.state.ModelId;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.PromptTokens;
import org.hornbeampass.state.upstream.PrefixDigests;
import org.hornbeampass.state.upstream.WorkTarget;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Makes the seeded demand: organisations of unequal size, each with conversations that share its
 * template and grow, and short calls of a plain service.
 *
 * <p>The same seed, site, load and length give the same requests whatever is compared. Not
 * thread-safe.
 */
final class Demand {
    static final ModelId MODEL = new ModelId("model");
    static final String SERVICE = "service";
    static final int VMS = 8;

    private static final int ORGANISATIONS = 10;
    private static final int CONVERSATIONS = 240;
    private static final int TEMPLATE_BLOCKS = 32;
    private static final int MAX_BLOCKS = 110;
    private static final int MAX_ADDED_BLOCKS = 12;
    private static final double STAY_AT_VM = 0.8;
    private static final double SERVICE_SHARE = 0.3;
    private static final long DEADLINE_MS = 10_000;
    private static final double REQUEST_COST_MS = 33;

    private final SplittableRandom mRandom;
    private final List<Conversation> mConversations = new ArrayList<>();

    /** A conversation of an organisation, with the prompt so far. */
    private static final class Conversation {
        private final int mOrganisation;
        private long[] mHashes = new long[0];
        private int mVm;

        private Conversation(int organisation, int vm) {
            mOrganisation = organisation;
            mVm = vm;
        }
    }

    private Demand(long seed) {
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < CONVERSATIONS; i++) {
            mConversations.add(new Conversation(organisation(), mRandom.nextInt(VMS)));
        }
    }

    /**
     * Returns the requests of a run in the order of their arrival.
     *
     * @param load the share of the runners' capacity without any cached prefix
     */
    static List<SimulatedRequest> of(Site site, double load, long lengthMs, long seed) {
        Demand demand = new Demand(seed);
        double perMs = load * site.runners() / REQUEST_COST_MS / (1 - SERVICE_SHARE);
        List<SimulatedRequest> requests = new ArrayList<>();
        double at = 0;
        while (true) {
            at += -Math.log(1 - demand.mRandom.nextDouble()) / perMs;
            if (at >= lengthMs) {
                return requests;
            }
            boolean service = demand.mRandom.nextDouble() < SERVICE_SHARE;
            int number = requests.size();
            requests.add(
                    service
                            ? demand.serviceCall(number, (long) at)
                            : demand.chat(number, (long) at));
        }
    }

    private int organisation() {
        double share = mRandom.nextDouble();
        return (int) (ORGANISATIONS * share * share);
    }

    private SimulatedRequest serviceCall(int number, long atMs) {
        int organisation = organisation();
        RoutingQuery query =
                query(WorkTarget.service(SERVICE), organisation, PrefixDigests.none(), atMs);
        EngineJob.Prompt prompt = new EngineJob.Prompt(1, new long[0]);
        boolean repeatable = mRandom.nextBoolean();
        return request(number, atMs, mRandom.nextInt(VMS), query, prompt, 1, repeatable);
    }

    private SimulatedRequest chat(int number, long atMs) {
        Conversation talk = mConversations.get(mRandom.nextInt(mConversations.size()));
        if (mRandom.nextDouble() > STAY_AT_VM) {
            talk.mVm = mRandom.nextInt(VMS);
        }
        grow(talk);
        int tokens = talk.mHashes.length * PromptTokens.TOKENS_PER_BLOCK + 8;
        EngineJob.Prompt prompt = new EngineJob.Prompt(tokens, talk.mHashes);
        PrefixDigests prefix = PrefixDigests.of(talk.mHashes);
        RoutingQuery query = query(WorkTarget.model(MODEL), talk.mOrganisation, prefix, atMs);
        return request(number, atMs, talk.mVm, query, prompt, answerTokens(), true);
    }

    private int answerTokens() {
        int kind = mRandom.nextInt(10);
        if (kind < 4) {
            return 5 + mRandom.nextInt(15);
        }
        return kind < 8 ? 40 + mRandom.nextInt(80) : 200 + mRandom.nextInt(200);
    }

    private void grow(Conversation talk) {
        boolean fresh = talk.mHashes.length == 0 || talk.mHashes.length > MAX_BLOCKS;
        int from = fresh ? TEMPLATE_BLOCKS : talk.mHashes.length;
        int size = from + 1 + mRandom.nextInt(MAX_ADDED_BLOCKS);
        long[] hashes = new long[size];
        for (int i = 0; i < size; i++) {
            if (fresh && i < TEMPLATE_BLOCKS) {
                hashes[i] = talk.mOrganisation * 1_000_003L + i + 1;
            } else {
                hashes[i] = i < from ? talk.mHashes[i] : mRandom.nextLong();
            }
        }
        talk.mHashes = hashes;
    }

    private static RoutingQuery query(
            WorkTarget target, int organisation, PrefixDigests prefix, long atMs) {
        return new RoutingQuery(
                target,
                new OrganisationId("organisation-" + organisation),
                priority(organisation),
                prefix,
                Set.of(),
                new Deadline(atMs + DEADLINE_MS));
    }

    private static int priority(int organisation) {
        return organisation % 3 * 3 + 2;
    }

    private static SimulatedRequest request(
            int number,
            long atMs,
            int vm,
            RoutingQuery query,
            EngineJob.Prompt prompt,
            int answerTokens,
            boolean repeatable) {
        EngineJob job =
                new EngineJob(
                        "r" + number,
                        "r" + number,
                        query.priority(),
                        prompt,
                        new EngineJob.Answer("t", 0, answerTokens, false));
        return new SimulatedRequest(number, atMs, vm, query, job, repeatable);
    }
}
