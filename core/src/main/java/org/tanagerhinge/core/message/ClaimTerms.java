package org.tanagerhinge.core.message;

/**
 * Describes the claim under which a request is submitted; the agent completes it to a {@link StoredClaim} with its own
 * name.
 *
 * @param bodyDigest digest of the request body
 * @param era era of the platform's store in which the claim was granted
 */
public record ClaimTerms(String bodyDigest, long era) {}
