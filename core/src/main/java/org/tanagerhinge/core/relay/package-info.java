/**
 * Decisions of the relay: routing, placement on backend servers, prefill order, admission, retries and server
 * membership.
 *
 * <p>No I/O; callers pass in the time.
 */
package org.tanagerhinge.core.relay;
