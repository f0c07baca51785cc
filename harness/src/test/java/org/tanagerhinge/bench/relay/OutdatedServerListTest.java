package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerhinge.core.relay.ServerDirectory;
import org.tanagerhinge.core.relay.ServerRegistration;
import org.tanagerhinge.gateway.GatewayDaemon;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.RawServer;
import org.tanagerhinge.standin.relay.ServerStandin;
import org.tanagerhinge.wire.peer.PeerState;
import org.tanagerhinge.wire.peer.ServerEntry;
import org.tanagerhinge.wire.peer.ServerList;

/**
 * Guards against requests to servers that have left, after a peer whose host was suspended states too small an age of
 * its server list.
 */
class OutdatedServerListTest {
    private static final int REPORTS = 40;
    private static final long REPORT_INTERVAL_MILLIS = 50;

    private RelayScene scene;

    @BeforeEach
    void setUp() {
        scene = RelayScene.withPlainService();
    }

    @AfterEach
    void tearDown() {
        scene.close();
    }

    private static ServerRegistration registration(ServerStandin server) {
        return new ServerRegistration(server.id(), 0, "", "plain", server.address(), "north", 8, false);
    }

    private static ServerEntry entry(ServerStandin server) {
        return ServerEntry.newBuilder()
                .setId(server.id())
                .setService("plain")
                .setAddress("127.0.0.1:" + server.address().getPort())
                .setDomain("north")
                .setSlots(8)
                .build();
    }

    /** Serves a server list that is stated to be new. */
    private static RawServer serve(List<ServerStandin> servers, long revision, boolean historyComplete) {
        byte[] list = ServerList.newBuilder()
                .addAllServers(
                        servers.stream().map(OutdatedServerListTest::entry).toList())
                .setEra(1)
                .setRevision(revision)
                .setDepartedComplete(historyComplete)
                .build()
                .toByteArray();
        return RawServer.start(0, (request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length + "\r\n\r\n");
            connection.out().write(list);
            connection.out().flush();
        });
    }

    private static byte[] report(int sequence, RawServer peer, List<ServerStandin> servers, long revision) {
        ServerDirectory directory = ServerDirectory.create();
        directory.apply(
                servers.stream().map(OutdatedServerListTest::registration).toList(), 0);
        return PeerState.newBuilder()
                .setName("a-first")
                .setIncarnation(1)
                .setSequence(sequence)
                .setAddress("127.0.0.1:" + peer.address().getPort())
                .setStoreAnswers(true)
                .setStoreEra(1)
                .setServersAgeMillis(0)
                .setServersDigest(directory.digest())
                .setServersEra(1)
                .setServersRevision(revision)
                .setIntervalMillis(250)
                .build()
                .toByteArray();
    }

    /** Reports to a gateway as the peer that reads the store for all, while requests arrive. */
    private void reportAndAsk(GatewayDaemon gateway, List<ServerStandin> servers, long revision) throws IOException {
        try (DatagramSocket socket = new DatagramSocket();
                RawServer peer = serve(servers, revision, false)) {
            for (int i = 1; i <= REPORTS; i++) {
                byte[] report = report(i, peer, servers, revision);
                socket.send(new DatagramPacket(report, report.length, scene.peerAddress(gateway)));
                RelayScene.sleep(REPORT_INTERVAL_MILLIS);
                assertEquals(200, RelayScene.status(gateway, "/safe/x"));
            }
        }
    }

    private void awaitListing() {
        int listings = scene.store.calls(PlatformNames.RANGE_PATH);
        RelayScene.await(() -> scene.store.calls(PlatformNames.RANGE_PATH) > listings + 2);
    }

    @Test
    void listThatWasReadEarlierIsNotTakenOver() throws IOException {
        ServerStandin gone = scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        ServerStandin staying = scene.server("s-2", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        long revision = scene.store.revision();
        scene.platform.unregister(gone);
        awaitListing();
        int before = gone.receivedRequests().size();
        reportAndAsk(gateway, List.of(gone, staying), revision);
        assertEquals(before, gone.receivedRequests().size());
    }

    /** Guards against a stream of a version that had left, since a peer whose list is outdated knows of none that did. */
    @Test
    void historyOfSoftwareVersionsFromBeforeTheFirstListIsNotComplete() throws IOException {
        scene.platform.route("/stream/", "streaming", "plain").put(PlatformNames.RESUMABLE, true);
        scene.platform.publish();
        ServerStandin server = scene.server("s-1", "plain", ServerStandin.events(2, 1));
        scene.store.alterResponses(body -> body.contains("\"items\":[]") ? "{" : body);
        GatewayDaemon gateway = scene.gateway();
        long revision = scene.store.revision();
        try (DatagramSocket socket = new DatagramSocket();
                RawServer peer = serve(List.of(server), 1, true)) {
            for (int i = 1; i <= REPORTS; i++) {
                byte[] report = report(i, peer, List.of(), revision + 1_000);
                socket.send(new DatagramPacket(report, report.length, scene.peerAddress(gateway)));
                RelayScene.sleep(REPORT_INTERVAL_MILLIS);
            }
        }
        try (RawCaller caller = RawCaller.to(gateway.address())) {
            String resumption = PlatformNames.RESUMES + ": nobody-knows\r\n" + PlatformNames.LAST_EVENT_ID + ": 1\r\n";
            assertEquals(
                    503,
                    caller.exchange(RawCaller.request("POST", "/stream/x", "attempt", resumption, "{}"))
                            .status());
        }
        assertTrue(server.receivedRequests().isEmpty());
    }

    @Test
    void listThatWasReadLaterIsTakenOver() throws IOException {
        scene.server("s-1", "plain", ServerStandin.plain(200, "x"));
        GatewayDaemon gateway = scene.gateway();
        try (ServerStandin unregistered = ServerStandin.start("s-2", ServerStandin.plain(200, "x"))) {
            reportAndAsk(gateway, List.of(unregistered), scene.store.revision() + 1_000);
            assertTrue(unregistered.receivedRequests().size() > REPORTS / 2);
        }
    }
}
