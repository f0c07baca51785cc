package org.tanagerhinge.wire;

import java.time.Duration;
import java.util.Optional;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.config.InvalidConfigException;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.message.AgentLoad;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.ClaimTerms;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.SchedulingParameters;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.message.WorkItem;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.wire.proto.LoadState;
import org.tanagerhinge.wire.proto.Packet;
import org.tanagerhinge.wire.proto.Submit;

/** Decodes protobuf packets into typed messages. */
public final class FrameDecoder {
    private FrameDecoder() {}

    /** Returns the message in a packet received after the handshake. */
    public static Frame decode(Packet packet) throws MalformedFrameException {
        try {
            return decodeBody(packet);
        } catch (IllegalArgumentException | InvalidConfigException | IndexOutOfBoundsException e) {
            throw new MalformedFrameException("malformed " + packet.getBodyCase() + ": " + e.getMessage(), e);
        }
    }

    private static Frame decodeBody(Packet packet) throws InvalidConfigException {
        return switch (packet.getBodyCase()) {
            case SUBMIT -> decodeSubmit(packet.getSubmit());
            case ATTACH ->
                new Frame.Attach(
                        packet.getAttach().getAttempt(),
                        decodeExecution(packet.getAttach().getExecution()),
                        packet.getAttach().getIncarnation());
            case CANCEL ->
                new Frame.Cancel(
                        packet.getCancel().getAttempt(), packet.getCancel().getRunOn());
            case CREDIT ->
                new Frame.Credit(
                        packet.getCredit().getAttempt(), packet.getCredit().getUnits());
            case QUEUED -> new Frame.Queued(packet.getQueued().getAttempt());
            case STARTED -> new Frame.Started(packet.getStarted().getAttempt());
            case HEAD ->
                new Frame.Head(
                        packet.getHead().getAttempt(),
                        packet.getHead().getStatus(),
                        packet.getHead().getContentType());
            case CHUNK ->
                new Frame.Chunk(
                        packet.getChunk().getAttempt(),
                        packet.getChunk().getOffset(),
                        packet.getChunk().getUnits(),
                        packet.getChunk().getData().toByteArray());
            case DONE ->
                new Frame.Done(
                        packet.getDone().getAttempt(),
                        packet.getDone().getTotalUnits(),
                        packet.getDone().getFinishReason(),
                        decodeLoad(packet.getDone().getLoad()));
            case NOT_RUN ->
                new Frame.NotRun(
                        packet.getNotRun().getAttempt(),
                        decodeResultCode(packet.getNotRun().getCode()),
                        Duration.ofMillis(packet.getNotRun().getRetryAfterMillis()),
                        decodeLoad(packet.getNotRun().getLoad()));
            case FAILED ->
                new Frame.Failed(
                        packet.getFailed().getAttempt(),
                        decodeResultCode(packet.getFailed().getCode()),
                        packet.getFailed().getDetail(),
                        decodeLoad(packet.getFailed().getLoad()));
            case LOAD -> new Frame.LoadReport(decodeLoad(packet.getLoad()));
            case HEARTBEAT ->
                new Frame.Heartbeat(
                        ConfigRevision.of(
                                packet.getHeartbeat().getProfiles(),
                                packet.getHeartbeat().getServers()),
                        packet.getHeartbeat().getAcceptsClaimReports(),
                        packet.getHeartbeat().getStoreEra());
            case CLAIM_REPORT ->
                new Frame.ClaimReport(packet.getClaimReport().getClaimsList().stream()
                        .map(FrameDecoder::decodeClaim)
                        .toList());
            case CONFIG_PULL -> new Frame.ConfigPull();
            case CONFIG_PUSH ->
                new Frame.ConfigPush(new ClusterConfig(
                        ConfigJson.parseProfiles(packet.getConfigPush().getProfiles()),
                        ConfigJson.parseServers(packet.getConfigPush().getServers())));
            case HELLO, PROOF, BODY_NOT_SET -> throw new IllegalArgumentException("not expected after the handshake");
        };
    }

    private static Frame.Submit decodeSubmit(Submit submit) {
        SchedulingParameters schedulingParameters = new SchedulingParameters(
                submit.getTier(),
                submit.getSharePercent(),
                submit.getQueueBound(),
                submit.getIdempotent(),
                Duration.ofMillis(submit.getStartTargetMillis()),
                submit.getWorkspaceWeight());
        byte[] body = submit.getBody().toByteArray();
        BackendCall call = submit.getMethod().isEmpty()
                ? new BackendCall.ModelCall(body)
                : new BackendCall.ServiceCall(submit.getMethod(), submit.getPath(), submit.getContentType(), body);
        WorkItem work = new WorkItem(
                WorkspaceId.of(submit.getWorkspace()),
                ProfileName.of(submit.getProfile()),
                schedulingParameters,
                TargetName.of(submit.getTarget()),
                call,
                submit.getPromptUnits());
        return new Frame.Submit(
                submit.getAttempt(),
                RequestId.of(submit.getRequest()),
                work,
                Duration.ofMillis(submit.getTimeLeftMillis()),
                submit.hasExecution() ? Optional.of(decodeExecution(submit.getExecution())) : Optional.empty(),
                submit.hasClaim()
                        ? Optional.of(new ClaimTerms(
                                submit.getClaim().getBodyDigest(),
                                submit.getClaim().getStoreEra()))
                        : Optional.empty(),
                submit.getResumeText(),
                submit.getResumeFrom(),
                submit.getResumeVersion(),
                submit.getExpectedUnits());
    }

    private static Execution decodeExecution(org.tanagerhinge.wire.proto.Execution execution) {
        return Execution.of(new KeyDigest(execution.getDigest()), execution.getGeneration());
    }

    private static StoredClaim decodeClaim(org.tanagerhinge.wire.proto.StoredClaim claim) {
        Execution execution = decodeExecution(claim.getExecution());
        ClaimEntry entry = ClaimEntry.requested(
                execution.digest(),
                claim.getTerms().getBodyDigest(),
                ServerId.of(claim.getExecutor()),
                claim.getExecutorIncarnation(),
                RequestId.of(claim.getOwner()));
        return new StoredClaim(
                entry.withGeneration(execution.generation()), claim.getTerms().getStoreEra());
    }

    private static AgentLoad decodeLoad(LoadState load) {
        return new AgentLoad(
                load.getInFlight(),
                load.getLimit(),
                load.getQueuedUnitsByTierList(),
                load.getRunningUnits(),
                load.getUnitsPerSecond(),
                load.getStreamUnitsPerSecond(),
                load.getQueued(),
                load.getAccepting(),
                load.getSoftwareVersion());
    }

    private static ResultCode decodeResultCode(int number) {
        return ResultCode.ofNumber(number)
                .orElseThrow(() -> new IllegalArgumentException("unknown result code " + number));
    }
}
