package org.tanagerhinge.gateway;

import com.google.protobuf.MessageLite;

/** Distinguishes datagrams between gateways by a first byte with which no state report begins. */
final class Datagrams {
    private Datagrams() {}

    static byte[] withMark(byte mark, MessageLite message) {
        byte[] bytes = message.toByteArray();
        byte[] datagram = new byte[bytes.length + 1];
        datagram[0] = mark;
        System.arraycopy(bytes, 0, datagram, 1, bytes.length);
        return datagram;
    }

    static boolean hasMark(byte mark, byte[] datagram) {
        return datagram.length > 0 && datagram[0] == mark;
    }
}
