/** Selects the route, organisation and upstream of a request, and decides on its retries. */
package org.hornbeampass.coordination.service;
