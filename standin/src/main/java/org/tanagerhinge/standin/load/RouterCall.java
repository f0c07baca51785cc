package org.tanagerhinge.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.tanagerhinge.standin.Answers;

/** Sends one request to a router and parses the response as it arrives. */
final class RouterCall {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(15);
    private static final String DATA_PREFIX = "data: ";

    private final LoadGenerator.PlannedRequest planned;
    private final long dueNanos;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder answer = new StringBuilder();
    private int status;
    private long firstNanos;
    private boolean endMarker;
    private JsonNode error;
    private long tokens;

    private RouterCall(LoadGenerator.PlannedRequest planned, long dueNanos) {
        this.planned = planned;
        this.dueNanos = dueNanos;
    }

    static CompletableFuture<Reply> send(
            HttpClient client, String router, LoadGenerator.PlannedRequest planned, long dueNanos) {
        RouterCall call = new RouterCall(planned, dueNanos);
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        LoadClass each = planned.loadClass();
        Request request = each.isService()
                ? client.POST(router + "/v1/services/" + each.service() + planned.path())
                        .body(new StringRequestContent("text/plain", "done"))
                : client.POST(router + "/v1/chat/completions")
                        .body(new StringRequestContent("application/json", call.completion()));
        request.headers(headers -> {
            headers.put("Authorization", "Bearer " + planned.caller().key());
            headers.put("X-Tanagerhinge-Profile", each.profile());
            if (!planned.key().isEmpty()) {
                headers.put("Idempotency-Key", planned.key());
            }
        });
        request.timeout(each.deadline().plus(TIMEOUT_MARGIN).toMillis(), TimeUnit.MILLISECONDS)
                .onResponseHeaders(response -> call.status = response.getStatus())
                .onResponseContent(call::onContent)
                .send(result -> reply.complete(call.toReply(result)));
        return reply;
    }

    private String completion() {
        ObjectNode root = JSON.createObjectNode();
        root.put("model", planned.loadClass().model()).put("stream", true);
        ArrayNode messages = root.putArray("messages");
        messages.addObject()
                .put("role", "system")
                .put("content", "You serve " + planned.caller().workspace() + ". " + "y".repeat(400));
        messages.addObject().put("role", "user").put("content", planned.message());
        return root.toString();
    }

    private void onContent(Response response, ByteBuffer buffer) {
        byte[] data = new byte[buffer.remaining()];
        buffer.get(data);
        if (status != 200 || planned.loadClass().isService()) {
            body.writeBytes(data);
            if (firstNanos == 0) {
                firstNanos = System.nanoTime();
            }
            return;
        }
        for (byte b : data) {
            if (b == '\n') {
                onLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                line.write(b);
            }
        }
    }

    private void onLine(String text) {
        if (!text.startsWith(DATA_PREFIX)) {
            return;
        }
        String event = text.substring(DATA_PREFIX.length());
        if (event.equals("[DONE]")) {
            endMarker = true;
            return;
        }
        try {
            JsonNode node = JSON.readTree(event);
            if (node.has("error")) {
                error = node.path("error");
                return;
            }
            String content =
                    node.path("choices").path(0).path("delta").path("content").asText("");
            if (!content.isEmpty()) {
                firstNanos = firstNanos == 0 ? System.nanoTime() : firstNanos;
                answer.append(content);
            }
        } catch (IOException e) {
            error = JSON.createObjectNode().put("code", -1).put("run", "unknown");
        }
    }

    private Reply toReply(Result result) {
        long now = System.nanoTime();
        Duration untilFirst = Duration.ofNanos((firstNanos == 0 ? now : firstNanos) - dueNanos);
        Duration untilWhole = Duration.ofNanos(now - dueNanos);
        if (status != 0 && status != 200) {
            error = readError();
        }
        if (error != null) {
            int code = error.path("code").asInt();
            boolean notRun = error.path("run").asText().equals("not_run");
            ClientOutcome reported =
                    notRun ? ClientOutcome.NOT_RUN : answer.isEmpty() ? ClientOutcome.UNKNOWN : ClientOutcome.CUT;
            return new Reply(reported, code, untilFirst, untilWhole, 0);
        }
        if (result.isFailed()) {
            return new Reply(classifyFailure(result.getFailure()), 0, untilFirst, untilWhole, 0);
        }
        ClientOutcome ending = planned.loadClass().isService() ? checkService() : checkAnswer();
        return new Reply(ending, 0, untilFirst, untilWhole, tokens);
    }

    /** Classifies a failed connection as seen by the caller: a timeout is a lost request, a partial answer is cut. */
    private ClientOutcome classifyFailure(Throwable cause) {
        if (cause instanceof ConnectException) {
            return ClientOutcome.UNREACHED;
        }
        if (cause instanceof TimeoutException) {
            return ClientOutcome.LOST;
        }
        return answer.isEmpty() ? ClientOutcome.UNKNOWN : ClientOutcome.CUT;
    }

    private JsonNode readError() {
        try {
            JsonNode root = JSON.readTree(body.toString(StandardCharsets.UTF_8));
            return root.path("error");
        } catch (IOException e) {
            return JSON.createObjectNode().put("code", -1).put("run", "unknown");
        }
    }

    private ClientOutcome checkService() {
        String expected = "POST " + planned.path() + " ";
        return body.toString(StandardCharsets.UTF_8).startsWith(expected) ? ClientOutcome.WHOLE : ClientOutcome.MIXED;
    }

    private ClientOutcome checkAnswer() {
        if (!endMarker) {
            return ClientOutcome.LOST;
        }
        String text = answer.toString();
        tokens = text.split(" ").length;
        return switch (Answers.check(planned.message(), text)) {
            case WHOLE -> ClientOutcome.WHOLE;
            case CUT -> ClientOutcome.LOST;
            case MIXED, BROKEN -> ClientOutcome.MIXED;
        };
    }
}
