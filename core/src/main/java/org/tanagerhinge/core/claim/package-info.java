/** Claims of callers' keys, and hashing that spreads work over servers. */
package org.tanagerhinge.core.claim;
