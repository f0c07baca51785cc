package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.relay.StreamId;
import org.tanagerhinge.wire.peer.PeerState;

/** Guards against messages about software versions that lose information or are taken for others. */
class VersionsMessageTest {
    private static final VersionsMessage QUESTION = VersionsMessage.question(StreamId.of("coop", "attempt"), "model");

    @Test
    void survivesRoundTrip() throws InvalidProtocolBufferException {
        VersionsMessage answer = QUESTION.answer(Set.of("v1", "v2"));
        assertEquals(QUESTION, VersionsMessage.decode(QUESTION.encode()));
        assertEquals(answer, VersionsMessage.decode(answer.encode()));
    }

    @Test
    void isNoOtherMessage() {
        byte[] datagram = QUESTION.encode();
        assertTrue(VersionsMessage.isIn(datagram));
        assertFalse(StreamMessage.isIn(datagram));
        assertFalse(CrashMessage.isIn(datagram));
        assertFalse(VersionsMessage.isIn(
                StreamMessage.asking(StreamId.of("coop", "attempt")).encode()));
        assertThrows(InvalidProtocolBufferException.class, () -> PeerState.parseFrom(datagram));
    }

    @Test
    void messageWithoutServiceIsInvalid() {
        byte[] datagram = {QUESTION.encode()[0]};
        assertThrows(InvalidProtocolBufferException.class, () -> VersionsMessage.decode(datagram));
    }
}
