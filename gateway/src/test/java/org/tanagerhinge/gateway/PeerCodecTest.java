package org.tanagerhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.core.attempt.RequestFingerprint;
import org.tanagerhinge.core.attempt.RequestQuarantine;
import org.tanagerhinge.core.duty.DutyAnnouncement;
import org.tanagerhinge.core.relay.PeerReport;
import org.tanagerhinge.core.relay.PromptPart;
import org.tanagerhinge.core.relay.RankedLoad;
import org.tanagerhinge.core.relay.ReportSchedule;
import org.tanagerhinge.core.relay.ServerAnnouncements;
import org.tanagerhinge.core.store.StorePosition;
import org.tanagerhinge.wire.peer.PeerState;
import org.tanagerhinge.wire.peer.ServerList;

/** Guards against peer messages that lose information or outgrow their share of the control bandwidth. */
class PeerCodecTest {
    /** Limit of a node's control traffic, in bytes per second. */
    private static final int CONTROL_BYTES_PER_SECOND = 21_000;

    private static final PeerReport REPORT = new PeerReport(
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
            StorePosition.of(6, 1_234),
            250,
            Map.of(),
            Map.of(),
            OptionalDouble.of(40),
            Map.of(),
            OptionalDouble.of(42.5));

    private static PeerCodec.PeerMessage message(List<RequestQuarantine.Suspicion> suspicions, List<String> leaving) {
        return new PeerCodec.PeerMessage(
                REPORT,
                List.of(),
                suspicions,
                leaving,
                new DutyAnnouncement(1_700_000_000_123L, 150, 412, 6, 340),
                List.of());
    }

    private static final long MAX_UINT32 = 0xFFFF_FFFFL;

    /** Fields of a state, by number, and values that no gateway reports. */
    static Stream<Arguments> implausibleFields() {
        return Stream.of(
                arguments(PeerState.SERVERS_AGE_MILLIS_FIELD_NUMBER, MAX_UINT32),
                arguments(PeerState.CONFIG_AGE_MILLIS_FIELD_NUMBER, MAX_UINT32),
                arguments(PeerState.INTERVAL_MILLIS_FIELD_NUMBER, MAX_UINT32),
                arguments(PeerState.INTERVAL_MILLIS_FIELD_NUMBER, 0L),
                arguments(PeerState.TIME_OF_DAY_MILLIS_FIELD_NUMBER, Long.MAX_VALUE),
                arguments(PeerState.USAGE_TOKEN_FIELD_NUMBER, -1L),
                arguments(PeerState.USAGE_COMMITTED_THROUGH_FIELD_NUMBER, -1L),
                arguments(PeerState.CONNECTIONS_PER_SECOND_FIELD_NUMBER, MAX_UINT32));
    }

    /** Guards against a peer's server list from the future, which would count as newer than the store's answers. */
    @ParameterizedTest
    @MethodSource("implausibleFields")
    void rejectsImplausibleStates(int field, long value) throws IOException {
        byte[] state = PeerCodec.encodeState(message(List.of(), List.of()));
        ByteArrayOutputStream damaged = new ByteArrayOutputStream();
        damaged.write(state);
        CodedOutputStream out = CodedOutputStream.newInstance(damaged);
        out.writeUInt64(field, value);
        out.flush();
        PeerCodec.decodeState(state);
        assertThrows(InvalidProtocolBufferException.class, () -> PeerCodec.decodeState(damaged.toByteArray()));
    }

    @Test
    void rejectsAServerListFromTheFuture() {
        byte[] list = ServerList.newBuilder().setAgeMillis(-5_000).build().toByteArray();
        assertThrows(InvalidProtocolBufferException.class, () -> PeerCodec.decodeServers(list));
    }

    @Test
    void suspicionsAndLeavingServersSurviveRoundTrip() throws InvalidProtocolBufferException {
        List<RequestQuarantine.Suspicion> suspicions = List.of(
                new RequestQuarantine.Suspicion(
                        new RequestFingerprint(-1, Long.MIN_VALUE),
                        List.of(
                                new RequestQuarantine.CrashReport(-7, 0),
                                new RequestQuarantine.CrashReport(7, RequestQuarantine.QUARANTINE_MILLIS)),
                        Optional.empty(),
                        RequestQuarantine.QUARANTINE_MILLIS),
                new RequestQuarantine.Suspicion(new RequestFingerprint(0, 0), List.of(), Optional.of(0L), 0));
        PeerCodec.PeerMessage sent = message(suspicions, List.of("i-1@2", "i-2"));
        assertEquals(sent, PeerCodec.decodeState(PeerCodec.encodeState(sent)));
    }

    /** Covers a crash of servers with 128 slots, whose requests all become suspects, with servers that leave. */
    @Test
    void largestReportStaysUnderAQuarterOfTheControlBandwidth() {
        RequestQuarantine quarantine = RequestQuarantine.create();
        ServerAnnouncements announcements = ServerAnnouncements.create();
        for (int i = 0; i < 128; i++) {
            for (String instanceId : List.of("i-1@1700000000000", "i-2@1700000000000", "i-3@1700000000000")) {
                quarantine.recordCrash(new RequestFingerprint(i, i), instanceId, 0);
            }
            announcements.recordLeaving("i-0123456789" + i + "@1700000000000", 0);
        }
        List<RequestQuarantine.Suspicion> all = new ArrayList<>(quarantine.pendingUpdates(1_000_000));
        all.addAll(quarantine.nextRefreshes(1_000_000));
        int bytes = PeerCodec.encodeState(message(all, announcements.nextLeavingReport())).length
                - PeerCodec.encodeState(message(List.of(), List.of())).length;
        assertTrue(bytes < CONTROL_BYTES_PER_SECOND / 4, bytes + " bytes");
    }

    /** Guards against work times that get lost, or are invented for servers that state none. */
    @Test
    void workTimesSurviveRoundTrip() throws InvalidProtocolBufferException {
        Map<String, PeerReport.StatedWorkTime> workTimes = Map.of("slow", new PeerReport.StatedWorkTime(2.5, 120));
        byte[] with = encode(workTimes);
        byte[] without = encode(Map.of());
        assertEquals(workTimes, PeerCodec.decodeState(with).report().workTimes());
        assertEquals(Map.of(), PeerCodec.decodeState(without).report().workTimes());
        assertTrue(with.length - without.length <= 6, with.length - without.length + " bytes for a server");
    }

    /** Guards against reports that receivers cut off and drop, since the sender uses many servers at once. */
    @Test
    void reportOfGatewayThatUsesAllServersOfADeploymentFitsIntoADatagram() {
        Map<String, RankedLoad> loads = new HashMap<>();
        Map<String, PeerReport.StatedWorkTime> workTimes = new HashMap<>();
        List<PeerCodec.CachedPrefix> prefixes = new ArrayList<>();
        for (int i = 0; i < 42; i++) {
            String server = "i-0123456789@" + (1_796_357_671_889L + i);
            RankedLoad load = RankedLoad.of(12, 3_000);
            load.add(1, 9, 80_000);
            load.add(2, 140, 500_000);
            loads.put(server, load);
            workTimes.put(server, new PeerReport.StatedWorkTime(2.5, 120));
            if (i < ReportSchedule.MAX_PROMPTS_PER_REPORT) {
                prefixes.add(new PeerCodec.CachedPrefix(
                        server, List.of(new PromptPart("77ffda77", 2_520), new PromptPart("91bd3f06", 3_780))));
            }
        }
        int bytes = PeerCodec.encodeState(new PeerCodec.PeerMessage(
                        report(loads, workTimes), prefixes, List.of(), List.of(), DutyAnnouncement.NONE, List.of()))
                .length;
        assertTrue(bytes <= PeerSynchronizer.MAX_DATAGRAM_BYTES, bytes + " bytes");
    }

    @Test
    void prefillRateSurvivesRoundTrip() throws InvalidProtocolBufferException {
        assertEquals(
                OptionalDouble.of(42.5),
                PeerCodec.decodeState(encode(Map.of())).report().prefillTokensPerMilli());
    }

    /** Guards against loads whose ranks get lost between nodes, so that all requests count as the most urgent. */
    @Test
    void loadByRankSurvivesRoundTrip() throws InvalidProtocolBufferException {
        RankedLoad load = RankedLoad.of(3, 100);
        load.add(2, 5, 90_000);
        byte[] state = encode(Map.of("e", load), Map.of());
        assertEquals(Map.of("e", load), PeerCodec.decodeState(state).report().loads());
    }

    private static byte[] encode(Map<String, PeerReport.StatedWorkTime> workTimes) {
        return encode(
                Map.of(
                        "slow", RankedLoad.of(3, 100),
                        "silent", RankedLoad.of(1, 0)),
                workTimes);
    }

    private static byte[] encode(Map<String, RankedLoad> loads, Map<String, PeerReport.StatedWorkTime> workTimes) {
        return PeerCodec.encodeState(new PeerCodec.PeerMessage(
                report(loads, workTimes), List.of(), List.of(), List.of(), DutyAnnouncement.NONE, List.of()));
    }

    private static PeerReport report(Map<String, RankedLoad> loads, Map<String, PeerReport.StatedWorkTime> workTimes) {
        return new PeerReport(
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
                loads,
                Map.of(),
                OptionalDouble.of(40),
                workTimes,
                OptionalDouble.of(42.5));
    }
}
