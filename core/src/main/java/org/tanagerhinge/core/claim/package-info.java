/** Claims of idempotency keys, and rendezvous hashing. */
package org.tanagerhinge.core.claim;
