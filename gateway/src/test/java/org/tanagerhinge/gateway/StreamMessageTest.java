package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.relay.StreamId;
import org.tanagerhinge.core.relay.StreamOrigin;
import org.tanagerhinge.core.relay.StreamOrigins;
import org.tanagerhinge.wire.peer.PeerState;

/** Guards against messages about streams that lose information or are taken for reports. */
class StreamMessageTest {
    private static final int MAX_DATAGRAM_BYTES = 2_048;

    private static StreamOrigins.Begun begun(int number) {
        return new StreamOrigins.Begun(
                StreamId.of("workspace", "attempt-" + number),
                new StreamOrigin("m".repeat(63), "v1.12.3-" + "0123456789abcdef".repeat(2)));
    }

    @Test
    void survivesRoundTrip() throws InvalidProtocolBufferException {
        StreamMessage sent = new StreamMessage(List.of(begun(1), begun(2)), List.of(StreamId.of("", "asked")));
        byte[] datagram = sent.encode();
        assertTrue(StreamMessage.isIn(datagram));
        assertEquals(sent, StreamMessage.decode(datagram));
    }

    @Test
    void largestMessageFitsIntoADatagram() {
        List<StreamOrigins.Begun> streams = new ArrayList<>();
        for (int i = 0; i < StreamMessage.MAX_STREAMS; i++) {
            streams.add(begun(i));
        }
        assertTrue(StreamMessage.telling(streams).encode().length <= MAX_DATAGRAM_BYTES);
    }

    /** Covers gateways of earlier versions, which know reports only. */
    @Test
    void isNoReport() {
        assertThrows(
                InvalidProtocolBufferException.class,
                () -> PeerState.parseFrom(
                        StreamMessage.asking(StreamId.of("", "asked")).encode()));
        assertFalse(StreamMessage.isIn(
                PeerState.newBuilder().setName("gateway-0").build().toByteArray()));
        assertFalse(StreamMessage.isIn(new byte[0]));
    }
}
