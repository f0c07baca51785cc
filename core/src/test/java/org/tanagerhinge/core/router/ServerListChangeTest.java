package org.tanagerhinge.core.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagerhinge.core.config.BackendServer;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.config.ServersDocument;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.id.ServerId;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.router.RouterFixture.Sent;

/** Answers in progress at a backend server that operators remove from the list or move to another address. */
class ServerListChangeTest {
    private static final ServerId SERVER = ServerId.of("engine-1");
    private static final Duration TICKS = Duration.ofSeconds(1);

    private enum Change {
        REMOVED,
        MOVED;

        ServersDocument apply(ServersDocument before) {
            List<BackendServer> others = before.servers().stream()
                    .filter(server -> !server.id().equals(SERVER))
                    .toList();
            ServersDocument without = new ServersDocument(before.revision(), before.changeIds(), others);
            BackendServer server = before.server(SERVER).orElseThrow();
            return this == REMOVED
                    ? without
                    : without.withServer(new BackendServer(
                            SERVER,
                            "127.0.0.1:7001",
                            server.failureDomain(),
                            server.kind(),
                            server.targets(),
                            server.desiredState()));
        }
    }

    private RouterFixture router;
    private RequestId id;
    private Sent attempt;

    @BeforeEach
    void askAndApply() {
        router = RouterFixture.withEngines("engine-1");
        id = router.ask(ServerKind.MODEL);
        attempt = router.newest(id);
        router.started(attempt);
        router.output(attempt, id, 0, "a");
    }

    /** Guards against an answer that is cut since its server was taken from the list. */
    @ParameterizedTest
    @EnumSource
    void answerInProgressIsFinished(Change change) {
        router.applyServers(change.apply(router.servers()));
        router.pass(TICKS);
        assertEquals(List.of(), router.unlinked);
        router.output(attempt, id, 1, "b");
        router.done(attempt, 2);
        assertEquals(Optional.of(ResultCode.OK), router.result(id));
        assertEquals("ab", router.delivered(id));
        router.pass(TICKS);
        assertEquals(List.of(SERVER), router.unlinked);
    }

    /** Guards against requests that are sent to a server that was taken from the list. */
    @ParameterizedTest
    @EnumSource
    void serverGetsNoNewRequests(Change change) {
        router.applyServers(change.apply(router.servers()));
        RequestId next = router.ask(ServerKind.MODEL);
        assertEquals(List.of(), router.submitted(next));
        assertTrue(router.result(next).isPresent());
    }

    /** Guards against a server that stays out of use since an answer was in progress when it was listed again. */
    @ParameterizedTest
    @EnumSource
    void serverThatIsListedAgainGetsRequests(Change change) {
        ServersDocument before = router.servers();
        router.applyServers(change.apply(before));
        router.applyServers(before);
        assertEquals(1, router.submitted(router.ask(ServerKind.MODEL)).size());
        router.pass(TICKS);
        assertEquals(List.of(), router.unlinked);
    }

    /** Guards against a connection to a server that is gone, which is kept for answers that can't come any more. */
    @ParameterizedTest
    @EnumSource
    void connectionIsDroppedWithTheServer(Change change) {
        router.applyServers(change.apply(router.servers()));
        router.core.onLinkDown(SERVER);
        router.pass(TICKS);
        assertEquals(List.of(SERVER), router.unlinked);
    }
}
