/**
 * Discrete-event simulation of a large fleet that runs in seconds: engines with chunked prefill and LRU prefix caches,
 * gateways with the real placement code and delayed peer reports, and callers that disconnect and retry.
 */
package org.tanagerhinge.bench.fleet;
