/**
 * Duties: tasks that exactly one elected node performs for the whole cluster. Contains the lease-based
 * election of the holder and the usage reporting duty. Performs no I/O itself; calls go through
 * {@link org.tanagerhinge.core.duty.DutyClient}.
 */
package org.tanagerhinge.core.duty;
