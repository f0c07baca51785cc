/** Bounds of the memory that others make a process hold. */
package org.tanagerhinge.core.memory;
