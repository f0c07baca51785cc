package org.tanagerhinge.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerhinge.core.attempt.PartId;
import org.tanagerhinge.core.attempt.PartQuarantine;
import org.tanagerhinge.core.attempt.RecentCrashes;
import org.tanagerhinge.wire.peer.CrashReport;
import org.tanagerhinge.wire.peer.PartCrash;
import org.tanagerhinge.wire.peer.ServerEnd;
import org.tanagerhinge.wire.peer.SuspectedPart;

/**
 * A datagram between gateways about crashes of servers.
 *
 * @param suspicions prompt parts that are suspected of them
 * @param crashes crashes that the sender has seen
 */
record CrashMessage(
        String sender, List<PartQuarantine.Suspicion> suspicions, List<RecentCrashes.CrashedServer> crashes) {
    /** First byte of these datagrams; it starts no other message between gateways. */
    private static final byte MARK = 1;
    /** Largest number of suspicions in one message, which must fit into a datagram. */
    static final int MAX_SUSPICIONS = 10;

    /** Returns messages of which each fits into a datagram; none if there is nothing to report. */
    static List<CrashMessage> split(
            String sender, List<PartQuarantine.Suspicion> suspicions, List<RecentCrashes.CrashedServer> crashes) {
        List<CrashMessage> messages = new ArrayList<>();
        if (!crashes.isEmpty()) {
            messages.add(new CrashMessage(sender, List.of(), crashes));
        }
        for (int from = 0; from < suspicions.size(); from += MAX_SUSPICIONS) {
            int to = Math.min(from + MAX_SUSPICIONS, suspicions.size());
            messages.add(new CrashMessage(sender, suspicions.subList(from, to), List.of()));
        }
        return messages;
    }

    byte[] encode() {
        CrashReport.Builder report = CrashReport.newBuilder().setName(sender);
        suspicions.forEach(suspicion -> report.addSuspected(encode(suspicion)));
        crashes.forEach(crash -> report.addCrashed(
                ServerEnd.newBuilder().setServer(crash.instanceHash()).setAgeMillis((int) crash.ageMillis())));
        return Datagrams.withMark(MARK, report.build());
    }

    private static SuspectedPart encode(PartQuarantine.Suspicion suspicion) {
        SuspectedPart.Builder suspected = SuspectedPart.newBuilder()
                .setPart(suspicion.part().value())
                .setHeldMillis((int) suspicion.remainingMillis());
        suspicion.soundAgeMillis().ifPresent(age -> suspected.setSoundMillis((int) (age + 1)));
        for (PartQuarantine.PartCrash crash : suspicion.crashes()) {
            suspected.addCrashes(PartCrash.newBuilder()
                    .setServer(crash.instanceHash())
                    .setRequest(crash.requestHash())
                    .setAgeMillis((int) crash.ageMillis()));
        }
        return suspected.build();
    }

    /** Returns whether a datagram holds such a message. */
    static boolean isIn(byte[] datagram) {
        return Datagrams.hasMark(MARK, datagram);
    }

    static CrashMessage decode(byte[] datagram) throws InvalidProtocolBufferException {
        CrashReport report = CrashReport.parser().parseFrom(datagram, 1, datagram.length - 1);
        List<PartQuarantine.Suspicion> suspicions = new ArrayList<>();
        for (SuspectedPart suspected : report.getSuspectedList()) {
            PartId.parse(suspected.getPart()).ifPresent(part -> suspicions.add(decode(part, suspected)));
        }
        List<RecentCrashes.CrashedServer> crashes = report.getCrashedList().stream()
                .map(crash -> new RecentCrashes.CrashedServer(crash.getServer(), crash.getAgeMillis()))
                .toList();
        return new CrashMessage(report.getName(), suspicions, crashes);
    }

    private static PartQuarantine.Suspicion decode(PartId part, SuspectedPart suspected) {
        return new PartQuarantine.Suspicion(
                part,
                suspected.getCrashesList().stream()
                        .map(crash -> new PartQuarantine.PartCrash(
                                crash.getServer(), crash.getRequest(), crash.getAgeMillis()))
                        .toList(),
                suspected.getSoundMillis() == 0 ? Optional.empty() : Optional.of(suspected.getSoundMillis() - 1L),
                suspected.getHeldMillis());
    }
}
