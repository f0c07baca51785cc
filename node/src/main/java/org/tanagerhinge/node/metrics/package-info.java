/** Metrics in the Prometheus format. */
package org.tanagerhinge.node.metrics;
