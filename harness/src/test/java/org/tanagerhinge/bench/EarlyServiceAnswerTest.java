package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.bench.relay.EndingServer;
import org.tanagerhinge.bench.relay.EndingServer.End;

/** Guards against parts of answers that routers pass on as whole if a service resets the connection of a long request. */
class EarlyServiceAnswerTest {
    private static final int CALLS = 25;
    private static final long PAUSE_MILLIS = 50;
    private static final String PART = "answer;".repeat(20);
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + PART;

    private static LocalCluster cluster;
    private static final List<EndingServer> SERVERS = new ArrayList<>();

    @BeforeAll
    static void setUp() throws Exception {
        cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT)
                .profiles(Callers.profiles())
                .maxBodyBytes(EndingServer.LONG_REQUEST_BYTES);
        for (End end : End.values()) {
            if (end.early()) {
                EndingServer server = EndingServer.start(end.name(), new EndingServer.Script(ANSWER, end));
                SERVERS.add(server);
                cluster.serviceAt("http://127.0.0.1:" + server.address().getPort(), end.name(), "kita", end.name());
            }
        }
        cluster.router("router-1", "kita").awaitReady();
    }

    @AfterAll
    static void tearDown() {
        cluster.close();
        SERVERS.forEach(EndingServer::close);
    }

    private record EarlyEnd(End end, int requestBytes) {}

    /** Returns the ways to end early, with requests that fit into the buffers of the agent's kernel, and that don't. */
    private static Stream<EarlyEnd> earlyEnds() {
        return Stream.of(End.values())
                .filter(End::early)
                .flatMap(end -> Stream.of(60_000, 500_000, EndingServer.LONG_REQUEST_BYTES)
                        .map(bytes -> new EarlyEnd(end, bytes)));
    }

    @ParameterizedTest
    @MethodSource("earlyEnds")
    void partOfAnAnswerIsNoAnswer(EarlyEnd early) throws Exception {
        String url = cluster.routerUrls().get(0) + "/v1/services/" + early.end() + "/x";
        String request = "x".repeat(early.requestBytes());
        int answered = 0;
        while (answered < CALLS) {
            try {
                ContentResponse response = Callers.post(cluster.http(), url, "status", request, Map.of())
                        .send();
                if (response.getStatus() == 503) {
                    // The agent takes the service for down after failures in a row.
                    Thread.sleep(PAUSE_MILLIS);
                    continue;
                }
                assertEquals(502, response.getStatus(), response.getContentAsString());
            } catch (ExecutionException e) {
                // The answer had been passed on in part; its connection was closed.
            }
            answered++;
        }
    }
}
