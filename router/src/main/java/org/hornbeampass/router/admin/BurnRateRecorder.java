package org.hornbeampass.router.admin;

import org.hornbeampass.coordination.slo.BurnWindows;
import org.hornbeampass.coordination.slo.Objectives;
import org.hornbeampass.coordination.slo.SloSample;
import org.hornbeampass.protocol.admin.SloView;
import org.hornbeampass.state.VmId;
import org.hornbeampass.state.config.UpstreamSpec;

import java.util.Optional;

/**
 * Counts this router's completed requests for the burn rates of objectives, and adds the failure
 * domains of their upstreams.
 *
 * <p>As thread-safe as {@link BurnWindows} and the configuration.
 */
public final class BurnRateRecorder implements BurnRatePort {
    private final VmId mVm;
    private final ConfigurationPort mConfiguration;
    private final BurnWindows mWindows;

    /** Creates a recorder that counts from {@code nowMs}, in milliseconds. */
    public BurnRateRecorder(
            long nowMs, VmId vm, ConfigurationPort configuration, Objectives objectives) {
        mVm = vm;
        mConfiguration = configuration;
        mWindows = new BurnWindows(nowMs, objectives);
    }

    /** Counts a completed request. */
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
