/**
 * The opaque relay: carries callers' requests to backend servers and answers back as they are.
 *
 * <p>Everything here runs on one event loop thread; decisions are in {@code core.relay}, names on the wire behind
 * {@link org.tanagerhinge.gateway.Dialect}.
 */
package org.tanagerhinge.gateway;
