package org.tanagerhinge.core.attempt;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import org.tanagerhinge.core.hash.ContentHash;

/**
 * Identifies equal requests: same workspace, method, host, path with query, and body.
 *
 * <p>Request ids cannot identify a repeated request, since each retry of a caller has its own.
 *
 * <p>The workspace is hashed separately. The checksums are fast but not collision-resistant, so a caller could forge a
 * body with the fingerprint of another workspace's request and have that quarantined.
 *
 * @param workspaceHash hash of the name of the caller's workspace
 * @param contentHash {@link ContentHash} of method, host, path with query, and body
 */
public record RequestFingerprint(int workspaceHash, long contentHash) implements CrashSuspect {
    private static final int WORKSPACE_HEX_DIGITS = 8;
    private static final int HEX_DIGITS = 24;

    /**
     * Returns the fingerprint of a request.
     *
     * @param workspace name of the caller's workspace, empty if it has none
     * @param target path and query as the caller wrote them
     * @param body the complete body; its position is not changed
     */
    public static RequestFingerprint of(String workspace, String method, String host, String target, ByteBuffer body) {
        byte[] prefix = String.join("\n", method, host, target, "").getBytes(StandardCharsets.UTF_8);
        return new RequestFingerprint(
                workspace.hashCode(), ContentHash.of(prefix, body).value());
    }

    /** Parses a fingerprint from 24 hexadecimal digits; returns empty for any other text. */
    public static Optional<RequestFingerprint> parse(String text) {
        if (text.length() != HEX_DIGITS || !text.chars().allMatch(HexFormat::isHexDigit)) {
            return Optional.empty();
        }
        return Optional.of(new RequestFingerprint(
                HexFormat.fromHexDigits(text, 0, WORKSPACE_HEX_DIGITS),
                HexFormat.fromHexDigitsToLong(text, WORKSPACE_HEX_DIGITS, HEX_DIGITS)));
    }

    /** Returns the fingerprint as 24 hexadecimal digits. */
    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(workspaceHash) + HexFormat.of().toHexDigits(contentHash);
    }
}
