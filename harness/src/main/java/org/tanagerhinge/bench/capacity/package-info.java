/** Measurements of cost by system size, from which {@code docs/CAPACITY.md} derives the target size. */
package org.tanagerhinge.bench.capacity;
