package org.hornbeampass.router.admin;

/**
 * The parts of a router that the operators' API uses.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param configuration templates, organisations and upstreams
 * @param accounts the budgets' accounts
 * @param billing bills, usage and the audit
 * @param fleet the routers that run at present
 * @param burn burn rates of the service-level objectives
 */
public record AdminPorts(
        ConfigurationPort configuration,
        AccountPort accounts,
        BillingPort billing,
        FleetPort fleet,
        BurnRatePort burn) {}
