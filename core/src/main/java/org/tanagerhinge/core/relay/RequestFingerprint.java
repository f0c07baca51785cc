package org.tanagerhinge.core.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Equal for requests that ask the same of a server: workspace, method, host, path with query, and body. Each try of a caller
 * has an id of its own, so ids can't tell that a request comes again.
 *
 * @param bits the first 64 bits of a SHA-256
 */
public record RequestFingerprint(long bits) {
    /**
     * Returns the fingerprint of a request.
     *
     * @param workspace name of the caller's workspace, empty if it has none
     * @param target path and query as the caller wrote them
     * @param body the whole body; its position is left at its end
     */
    public static RequestFingerprint of(String workspace, String method, String host, String target, ByteBuffer body) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            String head = String.join("\n", workspace, method, host, target, "");
            sha.update(head.getBytes(StandardCharsets.UTF_8));
            sha.update(body);
            return new RequestFingerprint(ByteBuffer.wrap(sha.digest()).getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /**
     * Returns the fingerprint that a text names.
     *
     * @throws IllegalArgumentException if it isn't 16 hexadecimal digits; names the text
     */
    public static RequestFingerprint parse(String text) {
        try {
            return new RequestFingerprint(HexFormat.fromHexDigitsToLong(text));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' is no fingerprint, expected 16 hexadecimal digits", e);
        }
    }

    /** Returns it as 16 hexadecimal digits. */
    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(bits);
    }
}
