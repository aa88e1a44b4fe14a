package org.hornbeampass.protocol.admin;

/**
 * The paths, headers and bounds of the operators' API.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class AdminPaths {
    /** The prefix that all paths share. */
    public static final String ROOT = "/admin/v1";

    public static final String TEMPLATES = ROOT + "/templates";
    public static final String ORGANISATIONS = ROOT + "/organisations";
    public static final String UPSTREAMS = ROOT + "/upstreams";
    public static final String REVISION = ROOT + "/revision";
    public static final String ROUTERS = ROOT + "/routers";
    public static final String AUDIT = ROOT + "/audit";
    public static final String SLO = ROOT + "/slo";

    /** Carries {@code Bearer} and the operator's key. */
    public static final String AUTHORIZATION = "Authorization";

    /** Carries the object revision that a change expects. */
    public static final String IF_MATCH = "If-Match";

    /** Carries the age of what was read, in whole seconds. */
    public static final String AGE = "Age";

    /** The largest body of a request, in bytes. */
    public static final int MAX_BODY_BYTES = 256 * 1024;

    /** The largest number of items on one page. */
    public static final int MAX_PAGE = 500;

    /** The number of items on a page where none is asked for. */
    public static final int DEFAULT_PAGE = 100;

    private AdminPaths() {}
}
