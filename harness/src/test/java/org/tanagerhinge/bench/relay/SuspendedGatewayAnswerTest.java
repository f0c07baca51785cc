package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tanagerhinge.standin.relay.GatewayFixture;
import org.tanagerhinge.standin.relay.RawServer;
import org.tanagerhinge.standin.relay.ServerStandin;

/** Guards against a cut answer taken for whole since something else listens where its server was killed meanwhile. */
class SuspendedGatewayAnswerTest {
    private static final String HOST = "shop.example";
    private static final long SUSPENSION_MILLIS = 1_500;

    @TempDir
    private Path folder;

    @Test
    void answerOfAServerThatWasReplacedWhileTheGatewayWasSuspendedIsCut() throws Exception {
        CountDownLatch halfWritten = new CountDownLatch(1);
        Path settings = folder.resolve("gateway.ini");
        try (GatewayFixture fixture = GatewayFixture.open(HOST);
                ServerStandin server = ServerStandin.start("p-1", (own, request, connection) -> {
                    connection.write("HTTP/1.1 200 OK\r\n" + own.headers(request) + "\r\nfirst half");
                    halfWritten.countDown();
                    Thread.sleep(2 * SUSPENSION_MILLIS);
                })) {
            fixture.register(server, "plain");
            fixture.publish();
            GatewayFixture.Ports ports = fixture.settings(settings, "gateway");
            GatewayProcess process = GatewayProcess.start(settings, Files.createFile(folder.resolve("gateway.log")));
            try (RawCaller caller = connect(fixture, ports)) {
                caller.send(RawCaller.request("POST", "/once/x", "attempt-1", "", "{}"));
                halfWritten.await();
                process.signal(GatewayProcess.Signal.STOP);
                server.close();
                try (RawServer silent = RawServer.start(server.address().getPort(), (request, connection) -> {})) {
                    Thread.sleep(SUSPENSION_MILLIS);
                    process.signal(GatewayProcess.Signal.CONT);
                    assertEquals(502, caller.read().status());
                }
            } finally {
                process.kill();
            }
        }
    }

    private static RawCaller connect(GatewayFixture fixture, GatewayFixture.Ports ports) throws Exception {
        fixture.awaitReady(ports);
        return RawCaller.to(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.listenPort()));
    }
}
