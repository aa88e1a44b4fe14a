package org.hornbeampass.coordination.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The upstreams of one model or service that this VM sends to.
 *
 * <p>Invariant: it holds at most the configured number of live upstreams, selected by rendezvous
 * hashing of the VM's and the upstreams' names, half of them from the VM's own failure domain if
 * that has enough. The members of a group never change; the table replaces the group. Their state
 * is guarded by {@link UpstreamTable#lock()}.
 */
public final class UpstreamGroup {
    private static final long MAX_MEAN_AGE_MS = 50;

    private final UpstreamState[] mMembers;
    private final long[] mHashes;
    private double mMeanFirstTokenMs;
    private long mMeanAtMs = Long.MIN_VALUE;

    private UpstreamGroup(List<UpstreamState> members) {
        mMembers = members.toArray(new UpstreamState[0]);
        mHashes = new long[mMembers.length];
        for (int i = 0; i < mMembers.length; i++) {
            mHashes[i] = Rendezvous.hash(mMembers[i].id().value());
        }
    }

    /** Returns the group with a VM's subset of the candidates. */
    static UpstreamGroup of(String vmName, List<UpstreamState> candidates, int subsetSize) {
        if (candidates.size() <= subsetSize) {
            List<UpstreamState> all = new ArrayList<>(candidates);
            all.sort(Comparator.comparing(UpstreamState::id));
            return new UpstreamGroup(all);
        }
        List<Ranked> ranked = rank(vmName, candidates);
        List<UpstreamState> subset = new ArrayList<>(subsetSize);
        for (Ranked each : ranked) {
            if (subset.size() < subsetSize / 2
                    && each.upstream().distance() == Distance.SAME_DOMAIN) {
                subset.add(each.upstream());
            }
        }
        for (Ranked each : ranked) {
            if (subset.size() < subsetSize && !subset.contains(each.upstream())) {
                subset.add(each.upstream());
            }
        }
        return new UpstreamGroup(subset);
    }

    /** Returns the number of members. */
    public int size() {
        return mMembers.length;
    }

    /** Returns one member. */
    public UpstreamState member(int index) {
        return mMembers[index];
    }

    /** Returns the hash of a member's name, as in {@link Rendezvous}. */
    public long hash(int index) {
        return mHashes[index];
    }

    /**
     * Returns the index of the member that ranks first for a key by rendezvous hashing; the group
     * must not be empty.
     */
    public int firstRanked(long key) {
        int best = 0;
        long bestScore = Long.MIN_VALUE;
        for (int i = 0; i < mHashes.length; i++) {
            long score = Rendezvous.score(key, mHashes[i]);
            if (score > bestScore) {
                bestScore = score;
                best = i;
            }
        }
        return best;
    }

    /**
     * Returns the members' mean time to first token in milliseconds, cached for at most {@value
     * #MAX_MEAN_AGE_MS} ms; 0 where none is known.
     */
    public double meanFirstTokenMs(long nowMs) {
        if (mMeanAtMs == Long.MIN_VALUE || nowMs - mMeanAtMs >= MAX_MEAN_AGE_MS) {
            mMeanFirstTokenMs = meanFirstTokenMs(Optional.empty());
            mMeanAtMs = nowMs;
        }
        return mMeanFirstTokenMs;
    }

    /**
     * Returns the mean time to first token of the other members in milliseconds; 0 where none is
     * known.
     */
    double meanFirstTokenMs(UpstreamState except) {
        return meanFirstTokenMs(Optional.of(except));
    }

    /**
     * Returns whether the reports of at most half of the members have stopped. If more have, the
     * delivery of reports has failed rather than the upstreams.
     */
    public boolean areReportsReliable(long nowMs) {
        int stopped = 0;
        for (UpstreamState member : mMembers) {
            stopped += member.load().reportsStopped(nowMs) ? 1 : 0;
        }
        return stopped * 2 <= mMembers.length;
    }

    /**
     * Returns the members' mean gap between the parts of answers in milliseconds; 0 where none is
     * known.
     */
    public double meanGapMs() {
        double sum = 0;
        int known = 0;
        for (UpstreamState member : mMembers) {
            double ms = member.load().gapMs();
            sum += ms;
            known += ms > 0 ? 1 : 0;
        }
        return known == 0 ? 0 : sum / known;
    }

    private double meanFirstTokenMs(Optional<UpstreamState> except) {
        UpstreamState excluded = except.orElse(null);
        double sum = 0;
        int known = 0;
        for (UpstreamState member : mMembers) {
            double ms = member.load().firstTokenMs();
            if (member != excluded && ms > 0) {
                sum += ms;
                known++;
            }
        }
        return known == 0 ? 0 : sum / known;
    }

    private static List<Ranked> rank(String vmName, List<UpstreamState> candidates) {
        long vm = Rendezvous.hash(vmName);
        List<Ranked> ranked = new ArrayList<>(candidates.size());
        for (UpstreamState each : candidates) {
            long score = Rendezvous.score(vm, Rendezvous.hash(each.id().value()));
            ranked.add(new Ranked(each, score));
        }
        ranked.sort(Comparator.comparingLong(Ranked::score).reversed());
        return ranked;
    }

    /** A candidate with its score for this VM. */
    private record Ranked(UpstreamState upstream, long score) {}
}
