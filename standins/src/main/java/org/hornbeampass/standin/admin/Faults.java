package org.hornbeampass.standin.admin;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Decides which calls are struck by which kinds of fault.
 *
 * <p>Invariant: with the same seed, rules and order of calls the decisions are the same; each kind
 * draws from its own random sequence, so that a rule for one kind does not shift another's.
 * Thread-safe: one lock guards all state.
 *
 * @param <K> the kinds of fault
 */
public final class Faults<K extends Enum<K>> {
    private final Object mLock = new Object();
    private final Class<K> mKinds;
    private final EnumMap<K, FaultRule> mRules;
    private final EnumMap<K, Long> mStruck;
    private final EnumMap<K, SplittableRandom> mRandoms;

    /**
     * Creates a set of faults, none of which strikes.
     *
     * @param kinds the kinds of fault
     * @param seed the seed of all draws
     */
    public Faults(Class<K> kinds, long seed) {
        mKinds = kinds;
        mRules = new EnumMap<>(kinds);
        mStruck = new EnumMap<>(kinds);
        mRandoms = new EnumMap<>(kinds);
        for (K kind : kinds.getEnumConstants()) {
            mRandoms.put(kind, new SplittableRandom(seed ^ kind.name().hashCode()));
        }
    }

    /** Returns the kinds of fault. */
    public Class<K> kinds() {
        return mKinds;
    }

    /** Sets the rule of one kind. */
    public void set(K kind, FaultRule rule) {
        synchronized (mLock) {
            mRules.put(kind, rule);
        }
    }

    /** Removes the rule of one kind. */
    public void clear(K kind) {
        synchronized (mLock) {
            mRules.remove(kind);
        }
    }

    /** Removes all rules. */
    public void clear() {
        synchronized (mLock) {
            mRules.clear();
        }
    }

    /** Decides for one call, and counts it where it is struck. */
    public Optional<FaultRule> take(K kind) {
        synchronized (mLock) {
            FaultRule rule = mRules.get(kind);
            if (rule == null || !strikes(kind, rule)) {
                return Optional.empty();
            }
            mStruck.merge(kind, 1L, Long::sum);
            return Optional.of(rule);
        }
    }

    /** Returns the rule of one kind, without deciding for a call. */
    public Optional<FaultRule> standing(K kind) {
        synchronized (mLock) {
            return Optional.ofNullable(mRules.get(kind));
        }
    }

    /** Returns the rules that are set. */
    public Map<K, FaultRule> rules() {
        synchronized (mLock) {
            return Map.copyOf(mRules);
        }
    }

    /** Returns how many calls each kind has struck. */
    public Map<K, Long> struck() {
        synchronized (mLock) {
            return Map.copyOf(mStruck);
        }
    }

    private boolean strikes(K kind, FaultRule rule) {
        if (rule.next() > 0) {
            mRules.put(kind, rule.afterOne());
            return true;
        }
        return rule.probability() > 0 && mRandoms.get(kind).nextDouble() < rule.probability();
    }
}
