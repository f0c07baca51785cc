package org.tanagerhinge.core.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.id.FailureDomain;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.id.TargetName;
import org.tanagerhinge.core.id.WorkspaceId;
import org.tanagerhinge.core.message.AgentLoad;

/** Tests which agent keeps a claim beside the one that runs the request. */
class ServerTableTest {
    private static final KeyDigest KEY = KeyDigest.of(WorkspaceId.of("w"), TargetName.of("m"), "key");

    private final ServerTable table = new ServerTable("router-1", 24);
    private final ServerView executor = link("engine-0", "kita");
    private final ServerView neighbor = link("engine-1", "kita");
    private final ServerView remote = link("engine-2", "chuo");

    @BeforeEach
    void acceptReports() {
        List.of(executor, neighbor, remote).forEach(view -> view.acceptsClaimReports(true));
    }

    /** Guards against a claim that is lost with a failure domain. */
    @Test
    void keeperIsInAnotherFailureDomainIfThereIsOne() {
        assertEquals(Optional.of(remote.server().id()), keeper());
        remote.machine().fire(ServerEvent.UNLINK);
        assertEquals(Optional.of(neighbor.server().id()), keeper());
        neighbor.machine().fire(ServerEvent.UNLINK);
        assertEquals(Optional.empty(), keeper());
    }

    /** Guards against a claim that is forgotten since the agent that keeps it is stopping. */
    @Test
    void agentThatIsStoppingIsNotChosen() {
        remote.recordLoad(new AgentLoad(0, 1, List.of(), 0, 0, 0, 0, false, ""), Instant.EPOCH);
        assertEquals(Optional.of(neighbor.server().id()), keeper());
    }

    /** Guards against a report that an agent of an earlier version can't decode. */
    @Test
    void agentThatDoesNotAcceptReportsIsNotChosen() {
        remote.acceptsClaimReports(false);
        assertEquals(Optional.of(neighbor.server().id()), keeper());
    }

    private Optional<ServerId> keeper() {
        return table.otherClaimKeeper(executor.server(), KEY);
    }

    private ServerView link(String name, String domain) {
        ServerView view = table.add(new BackendServer(
                ServerId.of(name),
                "127.0.0.1:1",
                FailureDomain.of(domain),
                ServerKind.MODEL,
                Set.of(TargetName.of("m")),
                DesiredServerState.SERVING));
        view.machine().fire(ServerEvent.LINK);
        return view;
    }
}
