/**
 * Decides which requests an agent admits, in which order and how many at once it runs them, and what it remembers of
 * non-idempotent requests. Single-threaded; no I/O.
 */
package org.tanagerhinge.core.agent;
