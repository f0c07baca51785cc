/** Random runs of the decision code of duties: many nodes, a store and the platform's address, simulated with their faults. */
package org.tanagerhinge.bench.duty;
