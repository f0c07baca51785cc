package org.tanagerhinge.bench.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tanagerhinge.platform.PlatformNames;
import org.tanagerhinge.standin.relay.GatewayFixture;
import org.tanagerhinge.standin.relay.ServerStandin;

/**
 * Guards against gateways that prompts of many short parts fill with what is kept of them, at the heap of the deploy
 * file, and against peers that take a gateway for absent since its reports list these parts.
 */
class PromptsOfManyPartsTest {
    private static final String HOST = "shop.example";
    private static final int SERVERS = 13;
    private static final int CALLERS = 8;
    private static final int PARTS = 400;

    @TempDir
    private Path folder;

    private final List<GatewayFixture.Ports> ports = new ArrayList<>();
    private final List<GatewayProcess> processes = new ArrayList<>();
    private GatewayFixture fixture;

    @BeforeEach
    void setUp() {
        fixture = GatewayFixture.open(HOST);
        for (int i = 0; i < SERVERS; i++) {
            fixture.server("e-" + i, "model", ServerStandin.events(1, 0));
        }
        fixture.publish();
    }

    @AfterEach
    void tearDown() {
        processes.forEach(GatewayProcess::kill);
        fixture.close();
    }

    private void startGateway(String name) throws Exception {
        Path settings = folder.resolve(name + ".ini");
        ports.add(fixture.settings(settings, name));
        processes.add(GatewayProcess.start(settings, Files.createFile(folder.resolve(name + ".log"))));
        fixture.awaitReady(ports.getLast());
    }

    @Test
    void gatewayWithTheHeapOfTheDeployFileAnswers() throws Exception {
        startGateway("gateway-a");
        assertAllAreServed(300);
    }

    @Test
    void gatewaysStayInTouchWithEachOther() throws Exception {
        startGateway("gateway-a");
        startGateway("gateway-b");
        assertAllAreServed(100);
        for (GatewayProcess process : processes) {
            assertFalse(process.output().contains("\"event\":\"peer_lost\""), process.output());
        }
    }

    private void assertAllAreServed(int requestsPerCaller) throws Exception {
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Integer>> served = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int caller = i;
                served.add(callers.submit(() -> send(caller, ports.get(caller % ports.size()), requestsPerCaller)));
            }
            for (Future<Integer> count : served) {
                assertEquals(requestsPerCaller, count.get());
            }
        }
    }

    /** Returns the number of requests that were answered with success. */
    private static int send(int caller, GatewayFixture.Ports ports, int requests) throws Exception {
        Random random = new Random(caller);
        int served = 0;
        try (RawCaller connection =
                RawCaller.to(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.listenPort()))) {
            for (int i = 0; i < requests; i++) {
                StringBuilder prefix = new StringBuilder("system:350");
                for (int part = 0; part < PARTS; part++) {
                    prefix.append(',')
                            .append(Integer.toHexString(random.nextInt()))
                            .append(":1");
                }
                String id = "attempt-" + caller + "-" + i;
                String headers = PlatformNames.MODEL + ": m\r\n" + PlatformNames.TOKEN_COUNT + ": 1000,1\r\n"
                        + PlatformNames.PROMPT_PREFIX + ": " + prefix + ",own:250\r\n";
                RawCaller.Answer answer =
                        connection.exchange(RawCaller.request("POST", "/stream/" + id, id, headers, "{}"));
                served += answer.status() == 200 && answer.whole() ? 1 : 0;
            }
        }
        return served;
    }
}
