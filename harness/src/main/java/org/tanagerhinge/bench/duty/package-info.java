/**
 * Random simulations of the decision code of duties: many nodes, a store and the platform's usage endpoint with
 * faults.
 */
package org.tanagerhinge.bench.duty;
