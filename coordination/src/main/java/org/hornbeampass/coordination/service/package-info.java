/** Decides which route, organisation, upstream and retry a request gets. */
package org.hornbeampass.coordination.service;
