package org.hornbeampass.router.daemon;

import org.hornbeampass.coordination.drain.DrainOrder;
import org.hornbeampass.coordination.requests.LedgerSettings;
import org.hornbeampass.router.admin.AdminHandler;
import org.hornbeampass.router.admin.AdminPorts;
import org.hornbeampass.router.admin.BurnRateRecorder;
import org.hornbeampass.router.admin.DrainControl;
import org.hornbeampass.router.admin.LedgerAccounts;
import org.hornbeampass.router.admin.LedgerAudit;
import org.hornbeampass.router.admin.MemberFleet;
import org.hornbeampass.router.admin.OperatorKeys;
import org.hornbeampass.router.admin.RecordedBilling;
import org.hornbeampass.router.admin.RouterDrainer;
import org.hornbeampass.router.admin.StoredConfiguration;
import org.hornbeampass.router.serve.RouterMetrics;

import java.security.SecureRandom;

/**
 * Connects the operators' API to a router's components.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class OperatorApi {
    /**
     * Time without a reply of the platform about the configuration that is still normal, in
     * milliseconds.
     */
    private static final long MAX_CONFIG_SILENCE_MS = 120_000;

    private OperatorApi() {}

    /**
     * Starts answering operators' requests, and drain orders that other routers forward for
     * operators.
     */
    static void start(
            RouterSettings settings,
            Coordination coordination,
            RouterNetwork network,
            RouterMetrics metrics,
            long nowMs,
            DrainControl control) {
        RouterDrainer drains =
                new RouterDrainer(coordination.membership(), network.peerNetwork(), control);
        network.peers().on(DrainOrder.class, drains::onDrainOrder);
        StoredConfiguration configuration =
                new StoredConfiguration(coordination.config(), MAX_CONFIG_SILENCE_MS);
        BurnRateRecorder burn =
                new BurnRateRecorder(
                        nowMs,
                        coordination.membership().view().self().vm(),
                        configuration,
                        settings.objectives());
        metrics.setSampleListener((sample, endedMs) -> burn.record(endedMs, sample));
        AdminPorts ports =
                new AdminPorts(
                        configuration,
                        new LedgerAccounts(coordination.accounts()),
                        new RecordedBilling(
                                coordination.backgroundPlatform(),
                                LedgerSettings.standard(),
                                new LedgerAudit(configuration, coordination.accounts())),
                        new MemberFleet(coordination.membership(), coordination.config(), drains),
                        burn);
        OperatorKeys keys =
                new OperatorKeys(
                        settings.keys().operators(),
                        () -> coordination.config().snapshot().operatorKeys());
        network.operatorsHandler().set(new AdminHandler(ports, keys, new SecureRandom()));
    }
}
