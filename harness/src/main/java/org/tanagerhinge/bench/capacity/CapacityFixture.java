package org.tanagerhinge.bench.capacity;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tanagerhinge.core.agent.AgentPort;
import org.tanagerhinge.core.agent.Run;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.config.Profile;
import org.tanagerhinge.core.config.ProfilesDocument;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.config.ServersDocument;
import org.tanagerhinge.core.config.Workspace;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.message.AgentLoad;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.router.ExchangeOutcome;
import org.tanagerhinge.core.router.IncomingRequest;
import org.tanagerhinge.core.router.RouterPort;
import org.tanagerhinge.core.store.StoreEra;
import org.tanagerhinge.wire.FrameEncoder;

/** Creates configurations, messages and counting ports for measurements of the decision code. */
final class CapacityFixture {
    static final String MODEL = "tanager-8b";
    private static final int LENGTH_PREFIX_BYTES = 4;

    private CapacityFixture() {}

    /** Provides a time that advances only on request. */
    static final class ManualClock implements InstantSource {
        private Instant currentInstant = Instant.parse("2026-01-01T00:00:00Z");

        @Override
        public Instant instant() {
            return currentInstant;
        }

        void advance(Duration duration) {
            currentInstant = currentInstant.plus(duration);
        }
    }

    /** Counts the frames that a router sends and their bytes on the wire. */
    static final class CountingRouterPort implements RouterPort {
        long bytes;
        long frames;
        final List<Frame.Submit> submits = new ArrayList<>();
        ServerId lastServer;

        @Override
        public void claim(long sequence, ClaimEntry wanted, long expectedGeneration) {}

        @Override
        public void keepClaims(List<StoredClaim> claims) {}

        @Override
        public long storeEra() {
            return StoreEra.UNKNOWN;
        }

        @Override
        public void checkStoreEra(long stated) {}

        @Override
        public void releaseClaim(ClaimEntry claim) {}

        @Override
        public void send(ServerId server, Frame.FromRouter frame) {
            frames++;
            bytes += wireBytes(frame);
            if (frame instanceof Frame.Submit submit) {
                lastServer = server;
                submits.add(submit);
            }
        }

        @Override
        public void link(BackendServer server) {}

        @Override
        public void unlink(ServerId server) {}

        @Override
        public void deliverHead(RequestId request, int status, String contentType) {}

        @Override
        public void deliverChunk(RequestId request, long units, byte[] data) {}

        @Override
        public void complete(RequestId request, String finishReason, long units) {}

        @Override
        public void refuse(RequestId request, RequestFailure refusal) {}

        @Override
        public void exchangeEnded(ExchangeOutcome outcome) {}

        @Override
        public void countDecision(String reason) {}

        @Override
        public void configApplied(ClusterConfig config) {}
    }

    /** Counts the frames that an agent sends and their bytes on the wire. */
    static final class CountingAgentPort implements AgentPort {
        long bytes;
        long frames;
        final List<Run> started = new ArrayList<>();

        @Override
        public void send(RouterId router, Frame.FromAgent frame) {
            frames++;
            bytes += wireBytes(frame);
        }

        @Override
        public void start(Run run) {
            started.add(run);
        }

        @Override
        public void abort(long runId) {}

        @Override
        public void probe() {}

        @Override
        public void setPaused(long runId, boolean paused) {}

        @Override
        public void count(String reason) {}

        @Override
        public void configApplied(ClusterConfig config) {}
    }

    static long wireBytes(Frame frame) {
        return FrameEncoder.encode(frame).getSerializedSize() + LENGTH_PREFIX_BYTES;
    }

    static ServerId serverId(int number) {
        return ServerId.of("engine-" + number);
    }

    static String apiKey(int workspace) {
        return "sk-capacity-" + workspace;
    }

    static ClusterConfig config(int servers, int workspaces) {
        List<BackendServer> serverList = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            serverList.add(new BackendServer(
                    serverId(i),
                    "10.0." + i / 250 + "." + i % 250 + ":7701",
                    FailureDomain.of("domain-" + i % 8),
                    ServerKind.MODEL,
                    Set.of(TargetName.of(MODEL)),
                    DesiredServerState.SERVING));
        }
        List<Workspace> workspaceList = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            workspaceList.add(
                    new Workspace(WorkspaceId.of("workspace-" + i), List.of(KeyDigest.sha256Hex(apiKey(i))), 1));
        }
        Profile chat = new Profile(
                ProfileName.of("chat"),
                2,
                true,
                Duration.ofMillis(440),
                Duration.ZERO,
                Duration.ofMillis(73),
                95,
                Duration.ofSeconds(60),
                30,
                100_000,
                0,
                0);
        return new ClusterConfig(
                new ProfilesDocument(1, List.of("a"), List.of(chat), workspaceList),
                new ServersDocument(1, List.of("a"), serverList));
    }

    static AgentLoad agentLoad() {
        return new AgentLoad(20, 24, List.of(0L, 120L, 0L, 0L, 300L, 0L), 1800, 900, 38, 4, true, "v1");
    }

    static IncomingRequest incomingRequest(int number, int workspace) {
        return new IncomingRequest(
                RequestId.of("router-1-0123456789abcdef-" + number),
                KeyDigest.sha256Hex(apiKey(workspace)),
                "chat",
                ServerKind.MODEL,
                MODEL,
                new BackendCall.ModelCall(new byte[2000]),
                Optional.empty(),
                "body",
                500,
                List.of(),
                "prefix-" + number % 50);
    }
}
