/** Clusters of real routers and agents with stand-in servers in one process, for measurements and tests. */
package org.tanagerhinge.bench.cluster;
