/** Stand-ins for engines, services and the platform, and a load generator; for tests, demos and benchmarks. */
package org.tanagerhinge.standin;
