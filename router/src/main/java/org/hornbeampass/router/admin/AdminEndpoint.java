package org.hornbeampass.router.admin;

/**
 * Handles the requests to one method and path.
 *
 * <p>Never blocks; replies once, now or later. Thread-safe.
 */
@FunctionalInterface
interface AdminEndpoint {
    /** Handles one request. */
    void handle(AdminRequest request, AdminReply reply);
}
