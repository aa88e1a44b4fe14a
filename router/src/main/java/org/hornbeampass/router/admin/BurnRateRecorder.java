package org.hornbeampass.router.admin;

import org.hornbeampass.coordination.slo.BurnWindows;
import org.hornbeampass.coordination.slo.Objectives;
import org.hornbeampass.coordination.slo.SloSample;
import org.hornbeampass.protocol.admin.SloView;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.UpstreamSpec;

import java.util.Optional;

/**
 * Counts this router's ended requests against objectives, with the failure domains of upstreams.
 *
 * <p>Thread-safe as {@link BurnWindows} and the configuration are.
 */
public final class BurnRateRecorder implements BurnRatePort {
    private final VmId mVm;
    private final ConfigurationPort mConfiguration;
    private final BurnWindows mWindows;

    /** Starts counting. */
    public BurnRateRecorder(
            long nowMs, VmId vm, ConfigurationPort configuration, Objectives objectives) {
        mVm = vm;
        mConfiguration = configuration;
        mWindows = new BurnWindows(nowMs, objectives);
    }

    /** Counts a request that has ended. */
    public void record(long nowMs, SloSample sample) {
        Optional<UpstreamSpec> upstream =
                sample.upstream()
                        .flatMap(
                                id ->
                                        Optional.ofNullable(
                                                mConfiguration.snapshot().upstreams().get(id)));
        mWindows.record(
                nowMs,
                new SloSample(
                        sample.organisation(),
                        sample.firstTokenMs(),
                        sample.betweenTokensMs(),
                        sample.error(),
                        sample.upstream(),
                        upstream.map(UpstreamSpec::domain)));
    }

    @Override
    public SloView burnRates(long nowMs) {
        return new SloView(mVm, nowMs, mWindows.report(nowMs));
    }
}
