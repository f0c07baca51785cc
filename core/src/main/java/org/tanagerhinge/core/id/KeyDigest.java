package org.tanagerhinge.core.id;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a caller's {@code Idempotency-Key} within its workspace and target without containing the key.
 *
 * <p>The text is the first 128 bits, in hex, of the SHA-256 over workspace, target and key.
 */
public record KeyDigest(String hex) {
    private static final int HEX_DIGITS = 32;

    /** Returns the digest of a key; equal keys of different workspaces or targets have different digests. */
    public static KeyDigest of(WorkspaceId workspace, TargetName target, String key) {
        String text = workspace + "\n" + target + "\n" + key;
        return new KeyDigest(sha256Hex(text).substring(0, HEX_DIGITS));
    }

    /** Returns the lower-case hex SHA-256 of a text in UTF-8. */
    public static String sha256Hex(String text) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this JDK", e);
        }
    }

    @Override
    public String toString() {
        return hex;
    }
}
