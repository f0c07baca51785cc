package org.tanagerhinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/** Collects the body of a request; a large one grows by blocks of equal size, without being copied. */
final class RequestBody {
    /** Size from which a body grows by blocks, and size of a block. */
    static final int BLOCK_BYTES = 16_384;

    private static final int INITIAL_BYTES = 256;

    private final ByteBufAllocator allocator;
    private ByteBuf bytes;

    RequestBody(ByteBufAllocator allocator) {
        this.allocator = allocator;
        this.bytes = allocator.heapBuffer(INITIAL_BYTES);
    }

    int length() {
        return bytes.readableBytes();
    }

    /** Returns the memory that the body occupies when more bytes have been appended. */
    int memoryWith(int more) {
        int needed = length() + more;
        if (needed <= bytes.capacity()) {
            return bytes.capacity();
        }
        return needed <= BLOCK_BYTES ? BLOCK_BYTES : (needed / BLOCK_BYTES + 2) * BLOCK_BYTES;
    }

    void append(ByteBuf content) {
        int more = content.readableBytes();
        if (length() + more > BLOCK_BYTES && more > bytes.writableBytes()) {
            addBlocks(more);
        }
        bytes.writeBytes(content);
    }

    private void addBlocks(int more) {
        CompositeByteBuf blocks;
        if (bytes instanceof CompositeByteBuf existing) {
            blocks = existing;
        } else {
            blocks = allocator.compositeHeapBuffer(Integer.MAX_VALUE).addComponent(true, bytes);
            bytes = blocks;
        }
        while (blocks.writableBytes() < more) {
            blocks.capacity(blocks.capacity() + BLOCK_BYTES);
        }
    }

    /** Returns the bytes, which the receiver has to release. */
    ByteBuf take() {
        return bytes;
    }

    void release() {
        bytes.release();
    }
}
