package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.core.duty.DutyAnnouncement;
import org.tanagerhinge.core.relay.PeerReport;
import org.tanagerhinge.core.relay.ReportSchedule;
import org.tanagerhinge.core.relay.WorkRate;
import org.tanagerhinge.core.relay.WorkspaceShares;
import org.tanagerhinge.core.relay.WorkspaceUses;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.wire.peer.PeerState;

/** Guards against figures of workspaces that are lost in messages or outgrow their share of the control bandwidth. */
class WorkspaceUsesCodecTest {
    private static final int BYTES_PER_SECOND = 4_000;

    private static byte[] encode(List<WorkspaceUses> uses) {
        PeerReport report = new PeerReport(
                "gateway-0",
                1,
                2,
                "127.0.0.1:7200",
                true,
                6,
                3,
                7,
                4,
                5,
                StorePosition.NONE,
                250,
                Map.of(),
                Map.of(),
                OptionalDouble.of(40),
                Map.of(),
                OptionalDouble.of(42.5));
        return PeerCodec.encodeState(
                new PeerCodec.PeerMessage(report, List.of(), List.of(), List.of(), DutyAnnouncement.NONE, uses));
    }

    @Test
    void figuresSurviveRoundTrip() throws InvalidProtocolBufferException {
        WorkspaceUses uses = new WorkspaceUses(
                "model",
                3,
                new WorkRate(0.25, 0.12),
                new WorkRate(1_234, 1_000),
                OptionalLong.of(0),
                Map.of(-7, new WorkRate(2_200_000, 0), 7, new WorkRate(1, 1)));
        WorkspaceUses without =
                new WorkspaceUses("model", 0, WorkRate.NONE, WorkRate.NONE, OptionalLong.empty(), Map.of());
        assertEquals(
                List.of(uses, without),
                PeerCodec.decodeState(encode(List.of(uses, without))).workspaceUses());
    }

    /** Covers a peer of the previous version. */
    @Test
    void messageWithoutTheFieldHasNoFigures() throws InvalidProtocolBufferException {
        PeerState state = PeerState.parseFrom(encode(List.of()));
        assertEquals(0, state.getWorkspaceUsesCount());
        assertEquals(List.of(), PeerCodec.decodeState(state.toByteArray()).workspaceUses());
    }

    /** Covers 8,300 workspaces at six ranks, all over their share, and each number of peers. */
    @ParameterizedTest
    @ValueSource(ints = {1, 22, 409})
    void figuresForAllPeersStayWithinTheirBytes(int peerCount) {
        WorkspaceShares shares = WorkspaceShares.create();
        for (int i = 0; i < 8_300; i++) {
            for (int rank = 0; rank < 6; rank++) {
                shares.recordAsked(new WorkspaceShares.Ask("model-with-name", rank, rank == 5, "w" + i, 1_000_000), 0);
            }
        }
        int emptyBytes = encode(List.of()).length;
        long bytes = 0;
        Map<Integer, Integer> reported = new HashMap<>();
        long lastMillis = 60_000;
        for (long millis = 0; millis <= lastMillis; millis += ReportSchedule.minIntervalMillis(peerCount)) {
            shares.recordShort("model-with-name", millis);
            List<WorkspaceUses> uses = shares.nextReport(peerCount, millis);
            bytes += (long) peerCount * (encode(uses).length - emptyBytes);
            uses.forEach(
                    group -> group.near().keySet().forEach(workspace -> reported.merge(workspace, 1, Integer::sum)));
        }
        assertTrue(bytes <= BYTES_PER_SECOND * 1.1 * lastMillis / 1_000, bytes + " bytes");
        assertTrue(!reported.isEmpty());
    }

    /** Guards against reports so small, or rounds so long, that peers' figures of the largest workspace expire. */
    @ParameterizedTest
    @CsvSource({"1, 3000, 100", "22, 3000, 12", "409, 8000, 1"})
    void largestWorkspaceIsRepeatedBeforeItsFiguresExpire(int peerCount, long longestMillis, int minWorkspaces) {
        WorkspaceShares shares = WorkspaceShares.create();
        int largest = "w0".hashCode();
        long repeatedAtMillis = 0;
        Set<Integer> reported = new HashSet<>();
        for (long millis = 0; millis <= 30_000; millis += ReportSchedule.minIntervalMillis(peerCount)) {
            for (int i = 0; i < 200; i++) {
                double work = i == 0 ? 100_000 : 10_000;
                shares.recordAsked(new WorkspaceShares.Ask("model", 0, false, "w" + i, work), millis);
                shares.recordAsked(new WorkspaceShares.Ask("model", 1, true, "w" + i, work), millis);
            }
            shares.recordShort("model", millis);
            for (WorkspaceUses uses : shares.nextReport(peerCount, millis)) {
                reported.addAll(uses.near().keySet());
                repeatedAtMillis = uses.near().containsKey(largest) ? millis : repeatedAtMillis;
            }
            assertTrue(millis - repeatedAtMillis <= longestMillis, "not repeated at " + millis);
        }
        assertTrue(reported.size() >= minWorkspaces, reported.size() + " workspaces");
    }
}
