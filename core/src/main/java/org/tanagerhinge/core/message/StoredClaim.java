package org.tanagerhinge.core.message;

/**
 * Names a claim and the era of the platform's store in which it was written.
 *
 * @param era the latest era in which the store is known to have had the entry; a restore since may have lost it
 */
public record StoredClaim(ClaimEntry entry, long era) {}
