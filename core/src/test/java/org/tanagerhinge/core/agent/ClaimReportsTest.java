package org.tanagerhinge.core.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.claim.ClaimRecovery;
import org.tanagerhinge.core.config.ClusterConfig;
import org.tanagerhinge.core.config.ConfigRevision;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.ProfileName;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.RouterId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.invariant.InvariantMonitor;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.ClaimEntry;
import org.tanagerhinge.core.message.ClaimTerms;
import org.tanagerhinge.core.message.Execution;
import org.tanagerhinge.core.message.Frame;
import org.tanagerhinge.core.message.SchedulingParameters;
import org.tanagerhinge.core.message.StoredClaim;
import org.tanagerhinge.core.message.WorkItem;

/** Tests which routers an agent tells of the claims under which it was given requests. */
class ClaimReportsTest {
    private static final ServerId ENGINE = ServerId.of("engine-0");
    private static final long INCARNATION = 5;
    private static final long ERA = 3;

    private Instant now = Instant.EPOCH;
    private final RecordingPort port = new RecordingPort();
    private final AgentCore agent =
            AgentCore.create(ENGINE, INCARNATION, AgentOptions.defaults(), () -> now, port, InvariantMonitor.strict());

    /** Guards against a claim that is lost with the router that was granted it and the agent that ran the request. */
    @Test
    void claimIsReportedToOtherRouters() {
        connect("router-0");
        connect("router-1");
        submit("router-0", 1);
        assertEquals(List.of(), port.claimsOf("router-0"));
        assertEquals(List.of(claim(1)), port.claimsOf("router-1"));
    }

    /** Guards against a claim that no router knows any more since all that did have been restarted. */
    @Test
    void routerThatConnectsIsSentRecentClaims() {
        connect("router-0");
        submit("router-0", 1);
        agent.onRouterDisconnected(router("router-0"));
        connect("router-1");
        assertEquals(List.of(claim(1)), port.claimsOf("router-1"));
    }

    /** Guards against reports that grow with the number of routers. */
    @Test
    void claimIsReportedToAFewRoutersAndOthersTakeTheirPlace() {
        for (int i = 0; i < 10; i++) {
            connect("router-" + i);
        }
        submit("router-0", 1);
        List<String> informed = informedRouters();
        assertTrue(informed.size() <= ClaimReports.MAX_ROUTERS, informed::toString);
        agent.onRouterDisconnected(router(informed.getFirst()));
        assertEquals(informed.size() + 1, informedRouters().size());
    }

    /** Guards against a report to a router of an earlier version, which would close the connection. */
    @Test
    void routerThatDoesNotAcceptReportsGetsNone() {
        connect("router-0");
        agent.onRouterConnected(router("router-1"));
        agent.onFrame(router("router-1"), new Frame.Heartbeat(ConfigRevision.NONE, false, ERA));
        submit("router-0", 1);
        assertEquals(List.of(), port.claimsOf("router-1"));
    }

    /** Guards against a claim that is lost because its executor ended before its reports arrived. */
    @Test
    void claimThatARouterReportsIsPassedOn() {
        connect("router-0");
        connect("router-1");
        agent.onFrame(router("router-0"), new Frame.ClaimReport(List.of(claim(7))));
        assertEquals(List.of(), port.claimsOf("router-0"));
        assertEquals(List.of(claim(7)), port.claimsOf("router-1"));
    }

    /** Guards against memory and messages that grow with the time that an agent runs. */
    @Test
    void claimsAreForgottenAfterTheRetention() {
        connect("router-0");
        submit("router-0", 1);
        now = now.plus(ClaimRecovery.RETENTION).plus(Duration.ofMillis(1));
        connect("router-1");
        assertEquals(List.of(), port.claimsOf("router-1"));
    }

    /** Guards against a router that learns too late of a restore, by its poll alone. */
    @Test
    void laterEraOfTheStoreIsToldToAllRouters() {
        connect("router-0");
        connect("router-1");
        agent.onFrame(router("router-0"), Frame.Heartbeat.of(ConfigRevision.NONE, ERA + 1));
        assertEquals(
                Frame.Heartbeat.of(ConfigRevision.NONE, ERA + 1),
                port.frames.get("router-1").getLast());
    }

    /** Guards against reports of requests that are not repeated under a key, which no restore endangers. */
    @Test
    void requestWithoutClaimIsNotReported() {
        connect("router-0");
        connect("router-1");
        agent.onFrame(router("router-0"), submit(1, Optional.empty()));
        assertEquals(List.of(), port.claimsOf("router-1"));
        assertFalse(port.frames.isEmpty());
    }

    private List<String> informedRouters() {
        return port.frames.keySet().stream()
                .filter(name -> !port.claimsOf(name).isEmpty())
                .sorted()
                .toList();
    }

    private void connect(String name) {
        agent.onRouterConnected(router(name));
        agent.onFrame(router(name), Frame.Heartbeat.of(ConfigRevision.NONE, ERA));
    }

    private void submit(String name, int key) {
        agent.onFrame(router(name), submit(key, Optional.of(new ClaimTerms("body", ERA))));
    }

    private static Frame.Submit submit(int key, Optional<ClaimTerms> claim) {
        WorkItem work = new WorkItem(
                WorkspaceId.of("w"),
                ProfileName.of("card"),
                new SchedulingParameters(1, 30, 1000, false, Duration.ofSeconds(1), 1),
                TargetName.of("m"),
                new BackendCall.ModelCall(new byte[10]),
                0);
        Execution execution = Execution.of(digest(key), 1);
        return new Frame.Submit(
                key,
                RequestId.of("r" + key),
                work,
                Duration.ofSeconds(10),
                Optional.of(execution),
                claim,
                "",
                0,
                "",
                10);
    }

    private static StoredClaim claim(int key) {
        ClaimEntry entry = ClaimEntry.requested(digest(key), "body", ENGINE, INCARNATION, RequestId.of("r" + key));
        return new StoredClaim(entry.withGeneration(1), ERA);
    }

    private static KeyDigest digest(int key) {
        return KeyDigest.of(WorkspaceId.of("w"), TargetName.of("m"), "key " + key);
    }

    private static RouterId router(String name) {
        return RouterId.of(name, 1);
    }

    /** Records the frames sent to each router. */
    private static final class RecordingPort implements AgentPort {
        private final Map<String, List<Frame>> frames = new HashMap<>();

        List<StoredClaim> claimsOf(String router) {
            return frames.getOrDefault(router, List.of()).stream()
                    .filter(Frame.ClaimReport.class::isInstance)
                    .flatMap(frame -> ((Frame.ClaimReport) frame).claims().stream())
                    .toList();
        }

        @Override
        public void send(RouterId router, Frame.FromAgent frame) {
            frames.computeIfAbsent(router.name(), _ -> new ArrayList<>()).add(frame);
        }

        @Override
        public void start(Run run) {}

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
}
