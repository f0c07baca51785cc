package org.tanagerhinge.core.attempt;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * Equal for requests that ask the same of a server: workspace, method, host, path with query, and body. Each try of a caller
 * has an id of its own, so ids can't tell that a request comes again.
 *
 * <p>The workspace stands by itself: checksums are quick on large bodies, but a caller could make a body that has the checksum
 * of another's, and what is held against one workspace must not fall on another.
 *
 * @param workspace hash of the name of the caller's workspace
 * @param content two checksums of all the rest
 */
public record RequestFingerprint(int workspaceHash, long contentHash) {
    private static final int WORKSPACE_HEX_DIGITS = 8;
    private static final int HEX_DIGITS = 24;

    /**
     * Returns the fingerprint of a request.
     *
     * @param workspace name of the caller's workspace, empty if it has none
     * @param target path and query as the caller wrote them
     * @param body the whole body; its position stays where it is
     */
    public static RequestFingerprint of(String workspace, String method, String host, String target, ByteBuffer body) {
        byte[] prefix = String.join("\n", method, host, target, "").getBytes(StandardCharsets.UTF_8);
        CRC32 crc32 = new CRC32();
        crc32.update(prefix);
        crc32.update(body.duplicate());
        CRC32C crc32c = new CRC32C();
        crc32c.update(prefix);
        crc32c.update(body.duplicate());
        return new RequestFingerprint(workspace.hashCode(), crc32.getValue() << Integer.SIZE | crc32c.getValue());
    }

    /** Returns the fingerprint that a text of 24 hexadecimal digits names; nothing for any other text. */
    public static Optional<RequestFingerprint> parse(String text) {
        if (text.length() != HEX_DIGITS || !text.chars().allMatch(HexFormat::isHexDigit)) {
            return Optional.empty();
        }
        return Optional.of(new RequestFingerprint(
                HexFormat.fromHexDigits(text, 0, WORKSPACE_HEX_DIGITS),
                HexFormat.fromHexDigitsToLong(text, WORKSPACE_HEX_DIGITS, HEX_DIGITS)));
    }

    /** Returns it as 24 hexadecimal digits. */
    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(workspaceHash) + HexFormat.of().toHexDigits(contentHash);
    }
}
