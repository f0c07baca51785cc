/**
 * Relays callers' requests to backend servers and their responses back unchanged.
 *
 * <p>Everything here runs on one event loop thread. Decisions are in {@code core.relay}; names on the wire are behind
 * {@link org.tanagerhinge.gateway.Dialect}.
 */
package org.tanagerhinge.gateway;
