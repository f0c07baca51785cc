package org.tanagerhinge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.ClaimTerms;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.SchedulingParameters;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.message.WorkItem;
import org.tanagerhinge.wire.proto.ClaimReport;
import org.tanagerhinge.wire.proto.Packet;
import org.tanagerhinge.wire.proto.Revision;

/** Tests that messages about claims are the same after they were sent. */
class FrameCodecTest {
    private static final KeyDigest DIGEST = KeyDigest.of(WorkspaceId.of("w"), TargetName.of("jobs"), "key");

    static Stream<Frame> frames() {
        return Stream.of(
                Frame.Heartbeat.of(ConfigRevision.of(3, 4), 5),
                new Frame.Heartbeat(ConfigRevision.of(3, 4), false, 0),
                new Frame.ClaimReport(List.of()),
                new Frame.ClaimReport(List.of(claim("r1", 1, 0), claim("r2", 7, 9))));
    }

    @ParameterizedTest
    @MethodSource("frames")
    void frameIsDecodedAsItWasEncoded(Frame frame) throws MalformedFrameException {
        assertEquals(frame, FrameDecoder.decode(FrameEncoder.encode(frame)));
    }

    static Stream<Optional<ClaimTerms>> claimTerms() {
        return Stream.of(Optional.empty(), Optional.of(new ClaimTerms("body", 0)), Optional.of(new ClaimTerms("", 5)));
    }

    @ParameterizedTest
    @MethodSource("claimTerms")
    void submissionKeepsItsClaim(Optional<ClaimTerms> claim) throws MalformedFrameException {
        Frame.Submit decoded = (Frame.Submit) FrameDecoder.decode(FrameEncoder.encode(submit(claim)));
        assertEquals(claim, decoded.claim());
        assertEquals(Optional.of(Execution.of(DIGEST, 2)), decoded.execution());
    }

    /** Guards against a claim report to a process of an earlier version, whose heartbeat lacks the field. */
    @Test
    void heartbeatOfAnEarlierVersionAcceptsNoClaimReports() throws MalformedFrameException {
        Packet packet = Packet.newBuilder()
                .setHeartbeat(Revision.newBuilder().setProfiles(1).setServers(1))
                .build();
        assertEquals(new Frame.Heartbeat(ConfigRevision.of(1, 1), false, 0), FrameDecoder.decode(packet));
    }

    @Test
    void reportWithoutExecutorIsMalformed() {
        Packet packet = Packet.newBuilder()
                .setClaimReport(ClaimReport.newBuilder()
                        .addClaims(org.tanagerhinge.wire.proto.StoredClaim.getDefaultInstance()))
                .build();
        assertThrows(MalformedFrameException.class, () -> FrameDecoder.decode(packet));
    }

    private static StoredClaim claim(String owner, long generation, long era) {
        ClaimEntry entry = ClaimEntry.requested(DIGEST, "body", ServerId.of("service-1"), -17, RequestId.of(owner));
        return new StoredClaim(entry.withGeneration(generation), era);
    }

    private static Frame.Submit submit(Optional<ClaimTerms> claim) {
        WorkItem work = new WorkItem(
                WorkspaceId.of("w"),
                ProfileName.of("status"),
                new SchedulingParameters(2, 20, 100, false, Duration.ofMillis(500), 1),
                TargetName.of("jobs"),
                new BackendCall.ModelCall(new byte[8]),
                4);
        return new Frame.Submit(
                1,
                RequestId.of("r1"),
                work,
                Duration.ofSeconds(2),
                Optional.of(Execution.of(DIGEST, 2)),
                claim,
                "so far",
                2,
                "v1",
                10);
    }
}
