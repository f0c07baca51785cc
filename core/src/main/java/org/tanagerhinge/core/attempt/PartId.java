package org.tanagerhinge.core.attempt;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.tanagerhinge.core.hash.ContentHash;

/**
 * Identifies a part of a prompt that several requests may share.
 *
 * <p>Holds the id that callers state if it is short and plain, and a hash of any other, so that ids are bounded and can
 * be part of a key of the platform's store.
 */
public record PartId(String value) implements CrashSuspect {
    private static final int MAX_LENGTH = 32;
    private static final char HASH_MARK = '~';

    /** Returns the id of a part that callers identify by a text. */
    public static PartId of(String text) {
        return isPlain(text, 0) ? new PartId(text) : ofContent(text);
    }

    /** Returns the id of a part that is identified by its content. */
    public static PartId ofContent(String content) {
        return new PartId(HASH_MARK
                + ContentHash.of(content.getBytes(StandardCharsets.UTF_8)).toString());
    }

    /** Parses an id in the form of {@link #toString()}; returns empty for any other text. */
    public static Optional<PartId> parse(String text) {
        int from = !text.isEmpty() && text.charAt(0) == HASH_MARK ? 1 : 0;
        return isPlain(text, from) ? Optional.of(new PartId(text)) : Optional.empty();
    }

    private static boolean isPlain(String text, int from) {
        int length = text.length() - from;
        if (length < 1 || length > MAX_LENGTH) {
            return false;
        }
        for (int i = from; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
            if (!plain && c != '-' && c != '_' && c != '.') {
                return false;
            }
        }
        return true;
    }

    @Override
    public String toString() {
        return value;
    }
}
