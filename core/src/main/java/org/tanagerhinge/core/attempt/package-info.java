/** Attempts of requests at backend servers: history, limits, retry budget and quarantine, for all interfaces. */
package org.tanagerhinge.core.attempt;
