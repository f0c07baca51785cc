package org.tanagerhinge.core.hash;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * A fast hash of content, not collision-resistant.
 *
 * @param value CRC-32 in the upper and CRC-32C in the lower half
 */
public record ContentHash(long value) {
    /** Returns the hash of bytes. */
    public static ContentHash of(byte[] bytes) {
        return of(bytes, ByteBuffer.allocate(0));
    }

    /** Returns the hash of some bytes followed by others; the position of {@code rest} is not changed. */
    public static ContentHash of(byte[] first, ByteBuffer rest) {
        CRC32 crc32 = new CRC32();
        crc32.update(first);
        crc32.update(rest.duplicate());
        CRC32C crc32c = new CRC32C();
        crc32c.update(first);
        crc32c.update(rest.duplicate());
        return new ContentHash(crc32.getValue() << Integer.SIZE | crc32c.getValue());
    }

    /** Returns the hash as 16 hexadecimal digits. */
    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(value);
    }
}
