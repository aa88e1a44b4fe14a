package org.hornbeampass.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What the engine holds and does, as orders change it: models, adapters, versions and its role.
 *
 * <p>Invariant: an engine that checks fencing never applies an order whose number is below one that
 * it has applied; one that does not check applies every order. Loading takes the weight store's
 * time: the caller fetches the artifact that {@link #apply} returns and tells {@link #loaded}. Not
 * thread-safe.
 */
public final class Catalogue {
    private final boolean mChecksFencing;
    private final TreeMap<String, ServedModel> mModels = new TreeMap<>();
    private final List<Applied> mApplied = new ArrayList<>();
    private String mRole;
    private long mHighestFencing;

    /** What became of an order. */
    public enum Outcome {
        APPLIED,
        OLD_FENCING_NUMBER,
        BASE_MODEL_MISSING
    }

    /**
     * An order with what became of it, for a verdict from outside.
     *
     * @param order the order
     * @param outcome what became of it
     * @param old whether its number was below one seen before
     */
    public record Applied(Order order, Outcome outcome, boolean old) {}

    /**
     * The reply to an order.
     *
     * @param outcome what became of it
     * @param fetch the artifact that the engine now has to fetch; empty where there is none
     */
    public record Reply(Outcome outcome, Optional<String> fetch) {}

    /**
     * Creates a catalogue whose first models are ready.
     *
     * @param models the names of the models
     * @param role the first role
     * @param checksFencing whether orders with an old fencing number are refused
     */
    public Catalogue(List<String> models, String role, boolean checksFencing) {
        mRole = role;
        mChecksFencing = checksFencing;
        for (String name : models) {
            mModels.put(name, nothing(name, Optional.empty()).loaded(Order.DEFAULT_VERSION));
        }
    }

    /** Applies an order, or refuses it. */
    public Reply apply(Order order) {
        boolean old = order.fencing() < mHighestFencing;
        mHighestFencing = Math.max(mHighestFencing, order.fencing());
        Reply reply =
                old && mChecksFencing
                        ? new Reply(Outcome.OLD_FENCING_NUMBER, Optional.empty())
                        : change(order);
        mApplied.add(new Applied(order, reply.outcome(), old));
        return reply;
    }

    /** Notes that an artifact has been fetched, so that its version serves from now on. */
    public void loaded(String artifact) {
        loading(artifact).ifPresent(m -> mModels.put(m.name(), m.loaded(version(artifact))));
    }

    /** Notes that an artifact could not be fetched. */
    public void loadFailed(String artifact) {
        loading(artifact).ifPresent(m -> mModels.put(m.name(), m.withoutLoading()));
    }

    /** Returns a model or adapter by the name under which requests ask for it. */
    public Optional<ServedModel> find(String name) {
        return Optional.ofNullable(mModels.get(name));
    }

    /** Returns all models and adapters in the order of their names. */
    public List<ServedModel> models() {
        return List.copyOf(mModels.values());
    }

    /** Returns the role. */
    public String role() {
        return mRole;
    }

    /** Returns the highest fencing number seen. */
    public long highestFencing() {
        return mHighestFencing;
    }

    /** Returns all orders received, in order. */
    public List<Applied> applied() {
        return List.copyOf(mApplied);
    }

    private Reply change(Order order) {
        return switch (order.action()) {
            case LOAD -> load(order);
            case UNLOAD -> unload(order.servedName());
            case SET_ROLE -> {
                mRole = order.role().orElse(mRole);
                yield new Reply(Outcome.APPLIED, Optional.empty());
            }
        };
    }

    private Reply load(Order order) {
        Optional<String> base = order.adapter().flatMap(a -> order.model());
        if (base.isPresent() && !mModels.containsKey(base.get())) {
            return new Reply(Outcome.BASE_MODEL_MISSING, Optional.empty());
        }
        Optional<String> version = order.version().or(() -> Optional.of(Order.DEFAULT_VERSION));
        ServedModel model =
                find(order.servedName()).orElseGet(() -> nothing(order.servedName(), base));
        if (model.loadingVersion().equals(version)) {
            return new Reply(Outcome.APPLIED, Optional.empty());
        }
        if (model.readyVersion().equals(version)) {
            mModels.put(model.name(), model.withoutLoading());
            return new Reply(Outcome.APPLIED, Optional.empty());
        }
        mModels.put(model.name(), model.loading(version.get()));
        return new Reply(Outcome.APPLIED, Optional.of(order.artifact()));
    }

    private Reply unload(String name) {
        mModels.remove(name);
        mModels.values().removeIf(m -> m.base().equals(Optional.of(name)));
        return new Reply(Outcome.APPLIED, Optional.empty());
    }

    private Optional<ServedModel> loading(String artifact) {
        return mModels.values().stream()
                .filter(
                        m ->
                                m.loadingVersion()
                                        .map(v -> m.name() + "@" + v)
                                        .equals(Optional.of(artifact)))
                .findFirst();
    }

    private static String version(String artifact) {
        return artifact.substring(artifact.lastIndexOf('@') + 1);
    }

    private static ServedModel nothing(String name, Optional<String> base) {
        return new ServedModel(name, base, Optional.empty(), Optional.empty());
    }
}
