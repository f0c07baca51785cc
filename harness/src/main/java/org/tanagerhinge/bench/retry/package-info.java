/** Random runs of the retry budget that the gateways of a fleet share, in simulated time. */
package org.tanagerhinge.bench.retry;
