/** Invariants of the system, checked at run time. */
package org.tanagerhinge.core.invariant;
