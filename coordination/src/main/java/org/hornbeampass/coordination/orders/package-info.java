/**
 * Orders that tell upstreams which models and adapters to load: planned, stored on the platform,
 * sent, and checked after sending.
 */
package org.hornbeampass.coordination.orders;
