/** Clocks that implement {@link java.time.InstantSource}. */
package org.tanagerhinge.core.time;
