/** The operators' API below {@code /admin/v1}, on top of small interfaces to the router's parts. */
package org.hornbeampass.router.admin;
