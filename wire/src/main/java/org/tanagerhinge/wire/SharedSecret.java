package org.tanagerhinge.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret that routers and agents share, and the proof of knowing it.
 *
 * <p>Each side sends a random nonce and proves the secret by an HMAC-SHA256 over its own role, name and incarnation and
 * both nonces. The role in the proof keeps a stranger from reflecting a proof to the side that made it, the nonces from
 * replaying an old one. Frames after the handshake are not encrypted; the network between hosts is the operators'.
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
            throw new IllegalArgumentException("expected a shared secret of " + MIN_LENGTH + " characters or more");
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
            throw new IllegalStateException("every JDK has " + ALGORITHM, e);
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
