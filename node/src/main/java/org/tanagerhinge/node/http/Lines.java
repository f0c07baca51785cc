package org.tanagerhinge.node.http;

import io.netty.buffer.ByteBuf;

/** Counts the lines of heads, by whose number their memory is estimated. */
public final class Lines {
    private Lines() {}

    /** Returns the number of line ends between two indexes; cheap also for the few bytes of a chunk's frame. */
    public static int count(ByteBuf bytes, int start, int end) {
        int lines = 0;
        for (int at = start; at < end; at++) {
            if (bytes.getByte(at) == '\n') {
                lines++;
            }
        }
        return lines;
    }
}
