package org.tanagerhinge.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.tanagerhinge.core.relay.StreamId;
import org.tanagerhinge.core.relay.StreamOrigin;
import org.tanagerhinge.core.relay.StreamOrigins;
import org.tanagerhinge.wire.peer.BegunStream;
import org.tanagerhinge.wire.peer.StreamKey;
import org.tanagerhinge.wire.peer.StreamReport;

/**
 * A datagram between gateways about streams that callers may resume.
 *
 * @param begun origins that the sender knows
 * @param asked streams whose origin the sender asks for
 */
record StreamMessage(List<StreamOrigins.Begun> begun, List<StreamId> asked) {
    /** Largest number of streams in one message, which must fit into a datagram. */
    static final int MAX_STREAMS = 12;
    /** First byte of these datagrams; it starts no other message between gateways. */
    private static final byte MARK = 0;

    static StreamMessage telling(List<StreamOrigins.Begun> begun) {
        return new StreamMessage(begun, List.of());
    }

    static StreamMessage asking(StreamId stream) {
        return new StreamMessage(List.of(), List.of(stream));
    }

    byte[] encode() {
        StreamReport.Builder report = StreamReport.newBuilder();
        for (StreamOrigins.Begun stream : begun) {
            report.addBegun(BegunStream.newBuilder()
                    .setStream(encode(stream.stream()))
                    .setService(stream.origin().service())
                    .setSoftwareVersion(stream.origin().softwareVersion()));
        }
        asked.forEach(stream -> report.addAsked(encode(stream)));
        return Datagrams.withMark(MARK, report.build());
    }

    private static StreamKey encode(StreamId stream) {
        return StreamKey.newBuilder()
                .setWorkspace(stream.workspaceHash())
                .setAttempt(stream.attemptHash())
                .build();
    }

    /** Returns whether a datagram holds such a message. */
    static boolean isIn(byte[] datagram) {
        return Datagrams.hasMark(MARK, datagram);
    }

    static StreamMessage decode(byte[] datagram) throws InvalidProtocolBufferException {
        StreamReport report = StreamReport.parser().parseFrom(datagram, 1, datagram.length - 1);
        return new StreamMessage(
                report.getBegunList().stream()
                        .map(stream -> new StreamOrigins.Begun(
                                decode(stream.getStream()),
                                new StreamOrigin(stream.getService(), stream.getSoftwareVersion())))
                        .toList(),
                report.getAskedList().stream().map(StreamMessage::decode).toList());
    }

    private static StreamId decode(StreamKey stream) {
        return new StreamId(stream.getWorkspace(), stream.getAttempt());
    }
}
