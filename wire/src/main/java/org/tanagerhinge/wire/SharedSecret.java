package org.tanagerhinge.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Holds the secret shared by routers and agents, and computes and verifies proofs of knowing it.
 *
 * <p>Each side sends a random nonce and proves the secret with an HMAC-SHA256 over its own role, name and incarnation
 * and both nonces. The role prevents reflection attacks, the nonces prevent replay attacks. Messages are not
 * encrypted; the network between the hosts is trusted.
 */
public final class SharedSecret {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final int MIN_LENGTH = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final byte[] secret;

    private SharedSecret(byte[] secret) {
        this.secret = secret;
    }

    /**
     * Returns the secret with the given text.
     *
     * @throws IllegalArgumentException if the text has fewer than 16 characters
     */
    public static SharedSecret of(String text) {
        if (text.length() < MIN_LENGTH) {
            throw new IllegalArgumentException(
                    "shared secret is too short: expected at least " + MIN_LENGTH + " characters");
        }
        return new SharedSecret(text.getBytes(StandardCharsets.UTF_8));
    }

    static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    byte[] computeProof(Peer prover, byte[] proverNonce, byte[] verifierNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            String identity = prover.role() + "\n" + prover.name() + "\n" + prover.incarnation() + "\n";
            mac.update(identity.getBytes(StandardCharsets.UTF_8));
            mac.update(proverNonce);
            return mac.doFinal(verifierNonce);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("algorithm not available in this JDK: " + ALGORITHM, e);
        }
    }

    boolean isValidProof(byte[] proof, Peer prover, byte[] proverNonce, byte[] verifierNonce) {
        return MessageDigest.isEqual(proof, computeProof(prover, proverNonce, verifierNonce));
    }

    @Override
    public String toString() {
        return "SharedSecret(not shown)";
    }
}
