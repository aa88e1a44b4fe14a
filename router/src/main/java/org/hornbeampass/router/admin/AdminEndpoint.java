package org.hornbeampass.router.admin;

/**
 * Handles the requests to one method and path.
 *
 * <p>Never blocks. Replies exactly once, during the call or later. Thread-safe.
 */
@FunctionalInterface
interface AdminEndpoint {
    /** Handles one request. */
    void handle(AdminRequest request, AdminReply reply);
}
