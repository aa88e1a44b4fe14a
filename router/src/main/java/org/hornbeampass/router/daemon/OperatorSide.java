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
 * Binds the operators' API to a router's parts.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class OperatorSide {
    /** For how long the platform may say nothing about the configuration while all is well. */
    private static final long SILENT_MS = 120_000;

    private OperatorSide() {}

    /** Starts answering operators, and the orders that other routers carry for them. */
    static void start(
            RouterSettings settings,
            Coordination parts,
            RouterNetwork network,
            RouterMetrics metrics,
            long nowMs,
            DrainControl control) {
        RouterDrainer drains =
                new RouterDrainer(parts.membership(), network.peerNetwork(), control);
        network.peers().on(DrainOrder.class, drains::onDrainOrder);
        StoredConfiguration configuration = new StoredConfiguration(parts.config(), SILENT_MS);
        BurnRateRecorder burn =
                new BurnRateRecorder(
                        nowMs,
                        parts.membership().view().self().vm(),
                        configuration,
                        settings.objectives());
        metrics.setSampleListener((sample, endedMs) -> burn.record(endedMs, sample));
        AdminPorts ports =
                new AdminPorts(
                        configuration,
                        new LedgerAccounts(parts.accounts()),
                        new RecordedBilling(
                                parts.backgroundPlatform(),
                                LedgerSettings.standard(),
                                new LedgerAudit(configuration, parts.accounts())),
                        new MemberFleet(parts.membership(), parts.config(), drains),
                        burn);
        OperatorKeys keys =
                new OperatorKeys(
                        settings.keys().operators(),
                        () -> parts.config().snapshot().operatorKeys());
        network.operatorsHandler().set(new AdminHandler(ports, keys, new SecureRandom()));
    }
}
