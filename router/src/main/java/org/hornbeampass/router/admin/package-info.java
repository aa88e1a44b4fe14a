/**
 * The operators' HTTP API under {@code /admin/v1}, built on small interfaces to the router's parts.
 */
package org.hornbeampass.router.admin;
