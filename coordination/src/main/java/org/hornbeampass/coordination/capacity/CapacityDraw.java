package org.hornbeampass.coordination.capacity;

import org.hornbeampass.coordination.address.PreferredMembers;
import org.hornbeampass.state.member.Member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Draws the VMs that an answer names with probabilities in proportion to their free capacity, for
 * fleets whose VMs differ in what they can carry and callers that choose among the named VMs at
 * random.
 *
 * <p>An answer names as many VMs as the proportions allow, since a VM that each answer names gets
 * the same share as any other: with VMs of equal free capacity all of them, up to {@link
 * #MAX_NAMED}. Invariants: at least two VMs are named where there are two, and four where there are
 * eight; a VM is left out altogether only while the others have room for its load. Stateless; safe
 * for use by any thread.
 */
public final class CapacityDraw implements AddressSelection {
    private static final int MAX_NAMED = 16;

    /** The fewest VMs to name, so that a caller has others when some fail. */
    private static final int MIN_NAMED = 4;

    /** The fewest VMs to name where there are fewer than twice {@link #MIN_NAMED}. */
    private static final int MIN_NAMED_OF_FEW = 2;

    /** Makes up for rounding errors where a count is a whole number. */
    private static final double ROUNDING = 1e-6;

    /** The smallest unused fraction that counts, so that each VM keeps receiving requests. */
    private static final double MIN_FREE_FRACTION = 1.0 / 20;

    /**
     * The largest unused fraction that counts, as a multiple of the mean. Reports are seconds old
     * and callers keep answers for seconds, so larger differences would make the shares oscillate,
     * and a VM that has just started would get too much.
     */
    private static final double MAX_FREE_RATIO = 1.5;

    /** The utilisation at which a VM has no free capacity. */
    private static final double FULL = 1;

    /**
     * The least utilisation at which a VM counts as full, as a multiple of the mean. With it, a
     * difference in utilisation changes a weight by at most the same ratio; a stronger reaction
     * oscillates, since reports and answers are seconds old.
     */
    private static final double MIN_FULL_RATIO = 2;

    /** The utilisation from which a VM is left out while the others have room for its load. */
    private static final double LEFT_OUT = 1.2;

    /** How much more often VMs near the caller are named while they are as busy as the others. */
    private static final double NEAR_BOOST = 0.7;

    /**
     * The utilisation of the VMs near the caller, as a multiple of the mean, from which they are
     * not preferred. Together with {@link #NEAR_BOOST} it determines how strongly the preference
     * reacts; a stronger reaction would oscillate.
     */
    private static final double NEAR_LIMIT = 1.6;

    /** The utilisation of the VMs near the caller from which they are not preferred. */
    private static final double NEAR_BUSY = 0.9;

    /** The utilisation of the VMs near the caller up to which they are preferred fully. */
    private static final double NEAR_CALM = 0.4;

    /** Added to utilisations that are compared, so that those of idle VMs count as equal. */
    private static final double IDLE_UTILISATION = 0.05;

    @Override
    public List<Member> select(AddressSnapshot snapshot, AddressCaller caller, Random random) {
        List<Member> eligible =
                PreferredMembers.select(
                        snapshot.candidates(),
                        caller.homes(),
                        caller.region(),
                        snapshot.withLostServices(),
                        Set.of());
        List<VmShare> shares = withoutFull(VmShare.of(eligible, snapshot.reports()));
        Predicate<VmShare> near =
                s -> caller.domain().filter(s.member().domain()::equals).isPresent();
        double boost = 1 + nearPreference(shares, near);
        double mean = used(shares);
        double full = Math.max(FULL, MIN_FULL_RATIO * mean);
        double maxFree = MAX_FREE_RATIO * Math.max(full - mean, MIN_FREE_FRACTION);
        ToDoubleFunction<VmShare> weight =
                s -> {
                    double free = Math.max(full - s.used(), MIN_FREE_FRACTION);
                    return s.capacity() * Math.min(free, maxFree) * (near.test(s) ? boost : 1);
                };
        List<VmShare> drawn =
                ProportionalSample.draw(shares, weight, count(shares, weight), random);
        return drawn.stream()
                .sorted(Comparator.comparing(s -> !near.test(s)))
                .map(VmShare::member)
                .toList();
    }

    private static double sum(List<VmShare> shares, ToDoubleFunction<VmShare> value) {
        return shares.stream().mapToDouble(value).sum();
    }

    /** Returns the largest number of VMs that can be named in proportion to the weights. */
    private static int count(List<VmShare> shares, ToDoubleFunction<VmShare> weight) {
        double largest = shares.stream().mapToDouble(weight).max().orElse(1);
        int proportional = (int) (sum(shares, weight) / largest + ROUNDING);
        return Math.max(minNamed(shares), Math.min(MAX_NAMED, proportional));
    }

    private static int minNamed(List<VmShare> shares) {
        return Math.max(MIN_NAMED_OF_FEW, Math.min(MIN_NAMED, shares.size() / 2));
    }

    /** Leaves out the fullest VMs as far as the free capacity of the others suffices. */
    private static List<VmShare> withoutFull(List<VmShare> shares) {
        List<VmShare> full =
                shares.stream()
                        .filter(s -> s.used() >= LEFT_OUT)
                        .sorted(Comparator.comparingDouble(VmShare::used).reversed())
                        .toList();
        double free = sum(shares, s -> Math.max(0, s.free()));
        Set<VmShare> leftOut = new HashSet<>();
        for (VmShare share : full) {
            free -= share.load();
            if (free < 0 || shares.size() - leftOut.size() <= minNamed(shares)) {
                break;
            }
            leftOut.add(share);
        }
        List<VmShare> rest = new ArrayList<>(shares);
        rest.removeAll(leftOut);
        return rest;
    }

    /** Returns how much more often VMs near the caller are to be named; 0 for no more often. */
    private static double nearPreference(List<VmShare> shares, Predicate<VmShare> near) {
        List<VmShare> nearby = shares.stream().filter(near).toList();
        if (nearby.isEmpty()) {
            return 0;
        }
        double used = used(nearby);
        double ratio = (used + IDLE_UTILISATION) / (used(shares) + IDLE_UTILISATION);
        double byRatio = fraction((NEAR_LIMIT - ratio) / (NEAR_LIMIT - 1));
        double byUse = fraction((NEAR_BUSY - used) / (NEAR_BUSY - NEAR_CALM));
        return NEAR_BOOST * byRatio * byUse;
    }

    private static double fraction(double value) {
        return Math.max(0, Math.min(1, value));
    }

    private static double used(List<VmShare> shares) {
        return sum(shares, VmShare::load) / sum(shares, VmShare::capacity);
    }
}
