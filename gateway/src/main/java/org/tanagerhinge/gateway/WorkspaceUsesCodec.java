package org.tanagerhinge.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.tanagerhinge.core.relay.WorkRate;
import org.tanagerhinge.wire.peer.WorkspaceUse;
import org.tanagerhinge.wire.peer.WorkspaceUses;

/** Encodes and decodes the figures of workspaces in messages between peer gateways. */
final class WorkspaceUsesCodec {
    /** Largest figure, so that its encoding has at most four bytes. */
    private static final int MAX_WORK = (1 << 28) - 1;

    /** Unit of the rates of requests: a small rank has less than one request in a second. */
    private static final double REQUEST_SECONDS = 100;

    private WorkspaceUsesCodec() {}

    static WorkspaceUses encode(org.tanagerhinge.core.relay.WorkspaceUses uses) {
        WorkspaceUses.Builder encoded = WorkspaceUses.newBuilder()
                .setService(uses.service())
                .setRank(uses.rank())
                .setRequests(figure(uses.requests().asked() * REQUEST_SECONDS))
                .setRequestsAdmitted(figure(uses.requests().admitted() * REQUEST_SECONDS))
                .setSmallWork(figure(uses.small().asked()))
                .setSmallAdmitted(figure(uses.small().admitted()));
        uses.shortAgeMillis().ifPresent(age -> encoded.setShortMillis((int) (age + 1)));
        uses.near()
                .forEach((workspace, work) -> encoded.addUses(WorkspaceUse.newBuilder()
                        .setWorkspace(workspace)
                        .setWork(figure(work.asked()))
                        .setAdmitted(figure(work.admitted()))));
        return encoded.build();
    }

    private static int figure(double work) {
        return (int) Math.min(MAX_WORK, Math.round(work));
    }

    static org.tanagerhinge.core.relay.WorkspaceUses decode(WorkspaceUses encoded) {
        Map<Integer, WorkRate> near = new HashMap<>();
        for (WorkspaceUse use : encoded.getUsesList()) {
            near.put(use.getWorkspace(), rate(use.getWork(), use.getAdmitted()));
        }
        int shortMillis = encoded.getShortMillis();
        return new org.tanagerhinge.core.relay.WorkspaceUses(
                encoded.getService(),
                encoded.getRank(),
                new WorkRate(
                        Integer.toUnsignedLong(encoded.getRequests()) / REQUEST_SECONDS,
                        Integer.toUnsignedLong(encoded.getRequestsAdmitted()) / REQUEST_SECONDS),
                rate(encoded.getSmallWork(), encoded.getSmallAdmitted()),
                shortMillis == 0 ? OptionalLong.empty() : OptionalLong.of(Integer.toUnsignedLong(shortMillis) - 1),
                near);
    }

    private static WorkRate rate(int asked, int admitted) {
        return new WorkRate(Integer.toUnsignedLong(asked), Integer.toUnsignedLong(admitted));
    }
}
