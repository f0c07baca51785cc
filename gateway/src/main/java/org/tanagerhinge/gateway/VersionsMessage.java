package org.tanagerhinge.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Set;
import java.util.TreeSet;
import org.tanagerhinge.core.relay.StreamId;
import org.tanagerhinge.wire.peer.BegunStream;
import org.tanagerhinge.wire.peer.StreamKey;
import org.tanagerhinge.wire.peer.StreamReport;

/**
 * A datagram between gateways about the software versions of a service: a question or its answer.
 *
 * <p>On the wire it is a stream report with one asked stream, and a begun stream without id for each version.
 *
 * @param kind whether it asks or answers
 * @param stream the stream because of which the question is asked; an answer repeats it
 * @param versions in an answer, the versions that serve or have left recently
 */
record VersionsMessage(Kind kind, StreamId stream, String service, Set<String> versions) {
    /** Kind of message, with the first byte of its datagrams; it starts no other message between gateways. */
    enum Kind {
        QUESTION(2),
        ANSWER(3);

        private final byte mark;

        Kind(int mark) {
            this.mark = (byte) mark;
        }
    }

    static VersionsMessage question(StreamId stream, String service) {
        return new VersionsMessage(Kind.QUESTION, stream, service, Set.of());
    }

    /** Returns the answer to this question. */
    VersionsMessage answer(Set<String> known) {
        return new VersionsMessage(Kind.ANSWER, stream, service, known);
    }

    byte[] encode() {
        StreamReport.Builder report = StreamReport.newBuilder()
                .addAsked(StreamKey.newBuilder()
                        .setWorkspace(stream.workspaceHash())
                        .setAttempt(stream.attemptHash()))
                .addBegun(BegunStream.newBuilder().setService(service));
        versions.forEach(version ->
                report.addBegun(BegunStream.newBuilder().setService(service).setSoftwareVersion(version)));
        return Datagrams.withMark(kind.mark, report.build());
    }

    /** Returns whether a datagram holds such a message. */
    static boolean isIn(byte[] datagram) {
        return Datagrams.hasMark(Kind.QUESTION.mark, datagram) || Datagrams.hasMark(Kind.ANSWER.mark, datagram);
    }

    static VersionsMessage decode(byte[] datagram) throws InvalidProtocolBufferException {
        StreamReport report = StreamReport.parser().parseFrom(datagram, 1, datagram.length - 1);
        if (report.getAskedCount() != 1 || report.getBegunCount() == 0) {
            throw new InvalidProtocolBufferException("a message about software versions names no stream or no service");
        }
        StreamKey stream = report.getAsked(0);
        Set<String> versions = new TreeSet<>();
        report.getBegunList().stream().skip(1).forEach(version -> versions.add(version.getSoftwareVersion()));
        return new VersionsMessage(
                Datagrams.hasMark(Kind.QUESTION.mark, datagram) ? Kind.QUESTION : Kind.ANSWER,
                new StreamId(stream.getWorkspace(), stream.getAttempt()),
                report.getBegun(0).getService(),
                versions);
    }
}
