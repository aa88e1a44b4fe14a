package org.hornbeampass.coordination.service;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The models of all registered upstreams, by incarnation.
 *
 * <p>Invariant: what was learnt of an incarnation is dropped when it ends. Confined to one thread.
 */
public final class UpstreamModels {
    /** A change of the learnt rate by this factor is announced. */
    private static final double ANNOUNCED_FACTOR = 4.0 / 3;

    /** The share of the newest rate in the smoothed one at each tick of 100 ms: 2 s on average. */
    private static final double SMOOTHED_SHARE = 0.05;

    /** One model. */
    private static final class Entry {
        private final String mService;
        private final UpstreamModel mModel = new UpstreamModel();
        private double mAnnouncedTokensPerMs = UpstreamModel.UNLEARNT_TOKENS_PER_MS;

        Entry(String service) {
            mService = service;
        }
    }

    private final Map<UpstreamIncarnation, Entry> mByIncarnation = new HashMap<>();
    private UpstreamSpeedListener mListener = UpstreamSpeedListener.NONE;

    /** Sets who receives changes of learnt rates. */
    public void setListener(UpstreamSpeedListener listener) {
        mListener = listener;
    }

    /** Creates the model of an incarnation, which starts with the mean of its service. */
    UpstreamModel create(UpstreamIncarnation upstream, String service) {
        Entry created = new Entry(service);
        created.mModel.setMean(ServiceMean.of(modelsOf(service)));
        mByIncarnation.put(upstream, created);
        return created.mModel;
    }

    /** Drops what was learnt of an incarnation that has ended. */
    void remove(UpstreamIncarnation upstream) {
        mByIncarnation.remove(upstream);
    }

    /** Returns the model of an incarnation; empty where it is not registered. */
    Optional<UpstreamModel> get(UpstreamIncarnation upstream) {
        return Optional.ofNullable(mByIncarnation.get(upstream)).map(e -> e.mModel);
    }

    private List<UpstreamModel> modelsOf(String service) {
        return mByIncarnation.values().stream()
                .filter(e -> e.mService.equals(service))
                .map(e -> e.mModel)
                .toList();
    }

    /** Adds what other VMs have observed; incarnations that are not registered are left out. */
    void onReport(long nowMs, UpstreamModelReport report) {
        for (UpstreamModelReport.Item item : report.items()) {
            Entry known = mByIncarnation.get(item.upstream());
            if (known != null) {
                known.mModel.onReport(nowMs, item);
            }
        }
    }

    /** Returns this VM's observations since the last call. */
    List<UpstreamModelReport.Item> takeUnreported(long nowMs) {
        List<UpstreamModelReport.Item> items = new ArrayList<>();
        mByIncarnation.forEach(
                (upstream, entry) -> {
                    UpstreamModelDelta delta = entry.mModel.unreported();
                    delta.toItem(nowMs, upstream).ifPresent(items::add);
                    delta.clear();
                });
        return items;
    }

    /** Returns the learnt rates as items without samples, for VMs that have just started. */
    List<UpstreamModelReport.Item> learntRates() {
        List<UpstreamModelReport.Item> items = new ArrayList<>();
        mByIncarnation.forEach(
                (upstream, entry) -> {
                    if (entry.mModel.isLearnt()) {
                        float rate = (float) entry.mModel.tokensPerMs();
                        items.add(new UpstreamModelReport.Item(upstream, 0, 0, rate, 0, 0, 0, 0));
                    }
                });
        return items;
    }

    /** Returns how many upstreams' models are learnt. */
    public int learnt() {
        return (int) mByIncarnation.values().stream().filter(e -> e.mModel.isLearnt()).count();
    }

    /** Updates the means of the services and announces changed rates. */
    void tick(long nowMs) {
        Map<String, ServiceMean> means = new HashMap<>();
        mByIncarnation.forEach(
                (upstream, entry) -> {
                    entry.mModel.setMean(
                            means.computeIfAbsent(
                                    entry.mService, s -> ServiceMean.of(modelsOf(s))));
                    entry.mModel.smoothRate(SMOOTHED_SHARE);
                    announce(nowMs, upstream, entry);
                });
    }

    private void announce(long nowMs, UpstreamIncarnation upstream, Entry entry) {
        UpstreamModel model = entry.mModel;
        if (!model.isLearnt()) {
            return;
        }
        double former = entry.mAnnouncedTokensPerMs;
        double rate = model.tokensPerMs();
        if (rate >= former * ANNOUNCED_FACTOR || rate <= former / ANNOUNCED_FACTOR) {
            entry.mAnnouncedTokensPerMs = rate;
            mListener.onSpeed(nowMs, upstream, former, rate, model.samples());
        }
    }
}
