package org.hornbeampass.router.admin;

import org.hornbeampass.protocol.admin.AdminPaths;

import java.util.List;

/**
 * The endpoints for routers, for the revision that each has applied, and for objectives.
 *
 * <p>Thread-safe: holds no state of its own.
 */
final class FleetEndpoints {
    private final FleetPort mFleet;
    private final BurnRatePort mBurn;

    FleetEndpoints(FleetPort fleet, BurnRatePort burn) {
        mFleet = fleet;
        mBurn = burn;
    }

    List<AdminRoute> routes() {
        return List.of(
                new AdminRoute("GET", AdminPaths.ROUTERS, this::routers),
                new AdminRoute("GET", AdminPaths.REVISION, this::revision),
                new AdminRoute("GET", AdminPaths.SLO, this::burn),
                new AdminRoute("POST", AdminPaths.ROUTERS + "/*/drain", this::drain));
    }

    private void routers(AdminRequest request, AdminReply reply) {
        reply.sendWithAge(Aged.fresh(mFleet.routers(request.nowMs())));
    }

    private void revision(AdminRequest request, AdminReply reply) {
        reply.sendWithAge(Aged.fresh(mFleet.revision(request.nowMs())));
    }

    private void burn(AdminRequest request, AdminReply reply) {
        reply.sendWithAge(Aged.fresh(mBurn.burnRates(request.nowMs())));
    }

    private void drain(AdminRequest request, AdminReply reply) {
        mFleet.drainRouter(
                request.nowMs(),
                request.variable(0),
                request.operator(),
                (atMs, result) -> reply.sendResult(result));
    }
}
