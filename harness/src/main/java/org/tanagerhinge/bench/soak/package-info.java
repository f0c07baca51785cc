/**
 * Seeded random simulations of the real decision code against simulated neighbours: a network that loses, delays and
 * duplicates messages, backend servers that crash and stall, a platform with outages and lost responses, processes
 * that pause, crash and restart, and operators with concurrent edits.
 */
package org.tanagerhinge.bench.soak;
