/**
 * Duties that one node at a time does for the whole system: who holds one, and the usage reports that are one. No input or
 * output here; calls go through {@link org.tanagerhinge.core.duty.DutyClient}.
 */
package org.tanagerhinge.core.duty;
