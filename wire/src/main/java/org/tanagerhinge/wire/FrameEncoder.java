package org.tanagerhinge.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.tanagerhinge.core.config.ConfigJson;
import org.tanagerhinge.core.message.AgentLoad;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.message.WorkItem;
import org.tanagerhinge.wire.proto.Attach;
import org.tanagerhinge.wire.proto.Attempt;
import org.tanagerhinge.wire.proto.Cancel;
import org.tanagerhinge.wire.proto.Chunk;
import org.tanagerhinge.wire.proto.ClaimReport;
import org.tanagerhinge.wire.proto.ClaimTerms;
import org.tanagerhinge.wire.proto.Config;
import org.tanagerhinge.wire.proto.Credit;
import org.tanagerhinge.wire.proto.Done;
import org.tanagerhinge.wire.proto.Empty;
import org.tanagerhinge.wire.proto.Failed;
import org.tanagerhinge.wire.proto.Head;
import org.tanagerhinge.wire.proto.LoadState;
import org.tanagerhinge.wire.proto.NotRun;
import org.tanagerhinge.wire.proto.Packet;
import org.tanagerhinge.wire.proto.Revision;
import org.tanagerhinge.wire.proto.Submit;

/** Encodes typed messages as protobuf packets. */
public final class FrameEncoder {
    private FrameEncoder() {}

    /** Returns the packet for a message. */
    public static Packet encode(Frame frame) {
        Packet.Builder packet = Packet.newBuilder();
        switch (frame) {
            case Frame.Submit submit -> packet.setSubmit(encodeSubmit(submit));
            case Frame.Attach attach ->
                packet.setAttach(Attach.newBuilder()
                        .setAttempt(attach.attempt())
                        .setExecution(encodeExecution(attach.execution()))
                        .setIncarnation(attach.incarnation()));
            case Frame.Cancel cancel ->
                packet.setCancel(
                        Cancel.newBuilder().setAttempt(cancel.attempt()).setRunOn(cancel.continueRun()));
            case Frame.Credit credit ->
                packet.setCredit(
                        Credit.newBuilder().setAttempt(credit.attempt()).setUnits(credit.units()));
            case Frame.Queued queued -> packet.setQueued(encodeAttempt(queued.attempt()));
            case Frame.Started started -> packet.setStarted(encodeAttempt(started.attempt()));
            case Frame.Head head ->
                packet.setHead(Head.newBuilder()
                        .setAttempt(head.attempt())
                        .setStatus(head.status())
                        .setContentType(head.contentType()));
            case Frame.Chunk chunk ->
                packet.setChunk(Chunk.newBuilder()
                        .setAttempt(chunk.attempt())
                        .setOffset(chunk.offsetUnits())
                        .setUnits(chunk.units())
                        .setData(wrapBytes(chunk.data())));
            case Frame.Done done ->
                packet.setDone(Done.newBuilder()
                        .setAttempt(done.attempt())
                        .setTotalUnits(done.totalUnits())
                        .setFinishReason(done.finishReason())
                        .setLoad(encodeLoad(done.load())));
            case Frame.NotRun notRun ->
                packet.setNotRun(NotRun.newBuilder()
                        .setAttempt(notRun.attempt())
                        .setCode(notRun.code().number())
                        .setRetryAfterMillis(notRun.retryAfter().toMillis())
                        .setLoad(encodeLoad(notRun.load())));
            case Frame.Failed failed ->
                packet.setFailed(Failed.newBuilder()
                        .setAttempt(failed.attempt())
                        .setCode(failed.code().number())
                        .setDetail(failed.detail())
                        .setLoad(encodeLoad(failed.load())));
            case Frame.LoadReport report -> packet.setLoad(encodeLoad(report.load()));
            case Frame.Heartbeat heartbeat ->
                packet.setHeartbeat(Revision.newBuilder()
                        .setProfiles(heartbeat.revision().profiles())
                        .setServers(heartbeat.revision().servers())
                        .setAcceptsClaimReports(heartbeat.acceptsClaimReports())
                        .setStoreEra(heartbeat.storeEra()));
            case Frame.ClaimReport report -> packet.setClaimReport(encodeClaimReport(report));
            case Frame.ConfigPull pull -> packet.setConfigPull(Empty.getDefaultInstance());
            case Frame.ConfigPush push ->
                packet.setConfigPush(Config.newBuilder()
                        .setProfiles(ConfigJson.render(push.config().profiles()))
                        .setServers(ConfigJson.render(push.config().servers())));
        }
        return packet.build();
    }

    private static Submit encodeSubmit(Frame.Submit frame) {
        WorkItem work = frame.work();
        Submit.Builder submit = Submit.newBuilder()
                .setAttempt(frame.attempt())
                .setRequest(frame.request().value())
                .setWorkspace(work.workspace().value())
                .setProfile(work.profile().value())
                .setTier(work.scheduling().tier())
                .setSharePercent(work.scheduling().sharePercent())
                .setQueueBound(work.scheduling().maxQueuedRequests())
                .setIdempotent(work.scheduling().idempotent())
                .setStartTargetMillis(work.scheduling().firstOutputTarget().toMillis())
                .setWorkspaceWeight(work.scheduling().workspaceWeight())
                .setTarget(work.target().value())
                .setPromptUnits(work.promptUnits())
                .setTimeLeftMillis(Math.max(0, frame.timeLeft().toMillis()))
                .setResumeText(frame.resumeText())
                .setResumeFrom(frame.resumeFromUnits())
                .setResumeVersion(frame.resumeVersion())
                .setExpectedUnits(frame.expectedUnits())
                .setBody(wrapBytes(work.call().body()));
        frame.execution().ifPresent(execution -> submit.setExecution(encodeExecution(execution)));
        frame.claim().ifPresent(claim -> submit.setClaim(encodeTerms(claim.bodyDigest(), claim.era())));
        if (work.call() instanceof BackendCall.ServiceCall call) {
            submit.setMethod(call.method()).setPath(call.path()).setContentType(call.contentType());
        }
        return submit.build();
    }

    private static org.tanagerhinge.wire.proto.Execution encodeExecution(Execution execution) {
        return org.tanagerhinge.wire.proto.Execution.newBuilder()
                .setDigest(execution.digest().hex())
                .setGeneration(execution.generation())
                .build();
    }

    private static ClaimTerms encodeTerms(String bodyDigest, long era) {
        return ClaimTerms.newBuilder()
                .setBodyDigest(bodyDigest)
                .setStoreEra(era)
                .build();
    }

    private static ClaimReport encodeClaimReport(Frame.ClaimReport report) {
        ClaimReport.Builder builder = ClaimReport.newBuilder();
        for (StoredClaim claim : report.claims()) {
            ClaimEntry entry = claim.entry();
            builder.addClaims(org.tanagerhinge.wire.proto.StoredClaim.newBuilder()
                    .setExecution(encodeExecution(entry.execution()))
                    .setTerms(encodeTerms(entry.bodyDigest(), claim.era()))
                    .setExecutor(entry.executor().value())
                    .setExecutorIncarnation(entry.executorIncarnation())
                    .setOwner(entry.owner().value()));
        }
        return builder.build();
    }

    private static Attempt encodeAttempt(long number) {
        return Attempt.newBuilder().setAttempt(number).build();
    }

    private static LoadState encodeLoad(AgentLoad load) {
        return LoadState.newBuilder()
                .setInFlight(load.inFlight())
                .setLimit(load.concurrencyLimit())
                .addAllQueuedUnitsByTier(load.queuedUnitsByTier())
                .setRunningUnits(load.runningUnits())
                .setUnitsPerSecond((float) load.unitsPerSecond())
                .setStreamUnitsPerSecond((float) load.streamUnitsPerSecond())
                .setQueued(load.queueLength())
                .setAccepting(load.accepting())
                .setSoftwareVersion(load.softwareVersion())
                .build();
    }

    private static ByteString wrapBytes(byte[] data) {
        return UnsafeByteOperations.unsafeWrap(data);
    }
}
