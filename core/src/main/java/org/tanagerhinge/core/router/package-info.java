/**
 * Decides for a router which agent gets a request, what follows when an attempt fails, and what the caller receives.
 *
 * <p>Plain objects for one control thread; no I/O.
 */
package org.tanagerhinge.core.router;
