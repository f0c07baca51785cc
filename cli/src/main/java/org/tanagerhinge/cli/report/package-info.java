/** HTML report of a fleet's logs: outcomes, latencies, server load, refusals and events by second. */
package org.tanagerhinge.cli.report;
