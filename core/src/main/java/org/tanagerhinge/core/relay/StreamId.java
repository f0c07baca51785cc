package org.tanagerhinge.core.relay;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.tanagerhinge.core.hash.ContentHash;

/**
 * Identifies a stream by its workspace and the id of the caller's attempt that brought its first event.
 *
 * <p>The workspace is hashed separately. The checksums are fast but not collision-resistant, so a caller could forge an
 * id that is equal to one of another workspace.
 *
 * @param workspaceHash hash of the name of the caller's workspace
 * @param attemptHash {@link ContentHash} of the attempt's id
 */
public record StreamId(int workspaceHash, long attemptHash) {
    /**
     * Returns the id of a stream.
     *
     * @param workspace name of the caller's workspace, empty if it has none
     */
    public static StreamId of(String workspace, String attemptId) {
        return new StreamId(
                workspace.hashCode(),
                ContentHash.of(attemptId.getBytes(StandardCharsets.UTF_8)).value());
    }

    /** Returns the id as hexadecimal digits. */
    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(workspaceHash) + HexFormat.of().toHexDigits(attemptHash);
    }
}
