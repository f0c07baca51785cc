package org.tanagerhinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerhinge.bench.cluster.LocalCluster;
import org.tanagerhinge.core.config.DesiredServerState;
import org.tanagerhinge.standin.Answers;
import org.tanagerhinge.standin.EngineModel;

/** Tests requests from end to end with real routers and agents, and with stand-ins for engines and the platform. */
class WholePathTest {
    private static LocalCluster cluster;

    @BeforeAll
    static void start() throws Exception {
        cluster = LocalCluster.create(LocalCluster.Kind.PRODUCT)
                .profiles(Callers.profiles())
                .engine("engine-1", "kita", EngineModel.small())
                .engine("engine-2", "chuo", EngineModel.small())
                .service("service-1", "kita", 8, 5)
                .router("router-1", "kita")
                .router("router-2", "chuo")
                .awaitReady();
    }

    @AfterAll
    static void stop() {
        assertEquals(0, cluster.violations());
        cluster.close();
    }

    private static Request completion(int router, String profile, String message, Map<String, String> headers) {
        String url = cluster.routerUrls().get(router) + "/v1/chat/completions";
        return Callers.post(cluster.http(), url, profile, Callers.completion(message, true), headers);
    }

    @Test
    void aStreamedAnswerIsWhole() throws Exception {
        ContentResponse response =
                completion(0, "chat", "hello [length 30]", Map.of()).send();
        assertEquals(200, response.getStatus());
        assertEquals(Answers.Verdict.WHOLE, Answers.check("hello [length 30]", Callers.text(response)));
    }

    @Test
    void aPlainAnswerIsWhole() throws Exception {
        String url = cluster.routerUrls().get(0) + "/v1/chat/completions";
        ContentResponse response = Callers.post(
                        cluster.http(), url, "chat", Callers.completion("plain [length 12]", false), Map.of())
                .send();
        assertEquals("0", response.getHeaders().get("X-Tanagerhinge-Result"));
        assertTrue(response.getContentAsString().contains("9 10 end"), response.getContentAsString());
    }

    @ParameterizedTest
    @CsvSource({
        "chat, {, 400, 1006",
        "chat, '{\"model\": \"tanager-8b\", \"messages\": []}', 400, 1006",
        "chat, '{\"model\": \"tanager-9b\", \"messages\": [{\"role\": \"user\", \"content\": \"x\"}]}', 404, 1003",
        "chta, '{\"model\": \"tanager-8b\", \"messages\": [{\"role\": \"user\", \"content\": \"x\"}]}', 400, 1002",
    })
    void aWrongCallIsRefusedWithItsCode(String profile, String body, int status, String code) throws Exception {
        String url = cluster.routerUrls().get(0) + "/v1/chat/completions";
        ContentResponse response =
                Callers.post(cluster.http(), url, profile, body, Map.of()).send();
        assertEquals(status, response.getStatus());
        assertEquals(code, response.getHeaders().get("X-Tanagerhinge-Result"));
        assertTrue(response.getContentAsString().contains("\"run\":\"not_run\""), response.getContentAsString());
    }

    @Test
    void anUnknownServiceIsNotFoundWhateverProfileIsNamed() throws Exception {
        String url = cluster.routerUrls().get(0) + "/v1/services/nowhere/x";
        ContentResponse response =
                Callers.post(cluster.http(), url, "none", "{}", Map.of()).send();
        assertEquals(404, response.getStatus());
        assertEquals("1004", response.getHeaders().get("X-Tanagerhinge-Result"));
    }

    /** Guards against a refusal by the HTTP library that bears no result code. */
    @ParameterizedTest
    @ValueSource(strings = {"Idempotency-Key: a\n b", "Idempotency-Key: a\u0000b"})
    void aRequestThatCannotBeParsedIsRefusedWithANumberedResult(String header) throws Exception {
        URI url = URI.create(cluster.routerUrls().get(0));
        try (Socket socket = new Socket(url.getHost(), url.getPort())) {
            String text = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + header
                    + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 4"), answer);
            assertTrue(answer.contains("X-Tanagerhinge-Result: 10"), answer);
        }
    }

    /** Guards against a caller that sends its next request on a connection that a refusal has ended. */
    @Test
    void aBodyOverTheLimitIsRefusedAndTheCallerToldThatTheConnectionEnds() throws Exception {
        String url = cluster.routerUrls().get(0) + "/v1/chat/completions";
        ContentResponse response = Callers.post(cluster.http(), url, "chat", "x".repeat(2 << 20), Map.of())
                .send();
        assertEquals(413, response.getStatus());
        assertEquals("close", response.getHeaders().get("Connection"));
        assertEquals("1005", response.getHeaders().get("X-Tanagerhinge-Result"));
    }

    @Test
    void anUnknownKeyIsRefused() throws Exception {
        ContentResponse response = completion(0, "chat", "hello", Map.of("Authorization", "Bearer sk-wrong"))
                .send();
        assertEquals(401, response.getStatus());
        assertFalse(response.getContentAsString().contains("sk-wrong"));
    }

    /** Guards against a second run of a keyed request that is repeated through another router. */
    @Test
    void aKeyRepeatedThroughTheOtherRouterDoesNotRunAgain() throws Exception {
        String message = "card for Umea [length 20]";
        Map<String, String> key = Map.of("Idempotency-Key", "card-1");
        String first = Callers.text(completion(0, "card", message, key).send());
        String second = Callers.text(completion(1, "card", message, key).send());
        assertEquals(first, second);
        assertEquals(1, cluster.runs().get(Answers.mark(message)));
    }

    /** Guards against a second run of a keyed request that is repeated before the first one has a result. */
    @Test
    void aKeyRepeatedWhileTheFirstCallRunsGetsTheSameResult() throws Exception {
        String message = "long card [length 120]";
        Map<String, String> key = Map.of("Idempotency-Key", "card-2");
        CompletableFuture<ContentResponse> first = new CompletableFuture<>();
        Request request = completion(0, "card", message, key);
        request.send(new BufferingResponseListener() {
            @Override
            public void onComplete(Result result) {
                first.complete(null);
            }
        });
        LocalCluster.await(() -> cluster.runs().containsKey(Answers.mark(message)));
        String second = Callers.text(completion(1, "card", message, key).send());
        first.join();
        assertEquals(Answers.Verdict.WHOLE, Answers.check(message, second));
        assertEquals(1, cluster.runs().get(Answers.mark(message)));
    }

    @Test
    void aKeyUsedForAnotherBodyIsRefused() throws Exception {
        Map<String, String> key = Map.of("Idempotency-Key", "card-3");
        completion(0, "card", "one [length 5]", key).send();
        ContentResponse second = completion(1, "card", "other [length 5]", key).send();
        assertEquals("4004", second.getHeaders().get("X-Tanagerhinge-Result"));
    }

    @Test
    void aPlainServiceCallIsPassedThrough() throws Exception {
        String url = cluster.routerUrls().get(0) + "/v1/services/jobs/plans/7?part=2";
        ContentResponse response =
                Callers.post(cluster.http(), url, "status", "done", Map.of()).send();
        assertEquals(200, response.getStatus());
        assertEquals("POST /plans/7 1\n", response.getContentAsString());
    }

    /** Guards against an engine that goes on for a caller that has hung up before any output. */
    @Test
    void aCallerThatHangsUpCancelsTheWorkAtTheEngine() throws Exception {
        String url = cluster.routerUrls().get(0) + "/v1/chat/completions";
        String message = "abandoned [length 4000]";
        Request request = Callers.post(cluster.http(), url, "chat", Callers.completion(message, false), Map.of());
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        request.send(result -> ended.complete(result.isFailed()));
        LocalCluster.await(() -> cluster.runs().containsKey(Answers.mark(message)));
        request.abort(new InterruptedException("the caller hangs up"));
        assertTrue(ended.join());
        LocalCluster.await(() ->
                cluster.agent("engine-1").inFlight() + cluster.agent("engine-2").inFlight() == 0);
        LocalCluster.await(() -> cluster.router("router-1").unwrittenResponses() == 0);
    }

    /** Guards against new requests to a server that an operator has marked as leaving. */
    @Test
    void aLeavingServerIsLeftAlone() throws Exception {
        cluster.setDesiredState("engine-2", DesiredServerState.LEAVING);
        LocalCluster.await(() -> cluster.agent("engine-2").revision().servers()
                        == cluster.router("router-1").revision().servers()
                && cluster.agent("engine-2").revision().servers()
                        == cluster.agent("engine-1").revision().servers());
        int before = cluster.engine("engine-2").runs().size();
        for (int i = 0; i < 10; i++) {
            completion(i % 2, "chat", "leaving " + i + " [length 3]", Map.of()).send();
        }
        assertEquals(before, cluster.engine("engine-2").runs().size());
        cluster.setDesiredState("engine-2", DesiredServerState.SERVING);
        LocalCluster.await(() -> cluster.agent("engine-2").revision().servers()
                == cluster.router("router-2").revision().servers());
    }
}
