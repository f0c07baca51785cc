/** Experiments that compare the product with a naive version under the same traffic and faults. */
package org.tanagerhinge.bench.experiment;
