package org.tanagerhinge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.IteratingCallback;

/** An answer that the stand-in engine is computing, and its stream to the client. */
final class AnswerSequence extends IteratingCallback {
    private static final int MAX_UNSENT_EVENTS = 64;

    private final StandinServer.Exchange exchange;
    private final String model;
    private final String softwareVersion;
    private final String message;
    private final String mark;
    private final String prefix;
    private final Set<String> earlierMessages = new HashSet<>();
    private final int promptTokens;
    private final int priority;
    private final int length;
    private final int maxLength;
    private final boolean resumed;
    private final Deque<byte[]> unsent = new ArrayDeque<>();
    private int nextIndex;
    private long remainingPrefillTokens;
    private boolean ended;
    private boolean written;
    private volatile boolean clientGone;

    AnswerSequence(JsonNode request, StandinServer.Exchange exchange, EngineModel engine, String softwareVersion) {
        this.softwareVersion = softwareVersion;
        this.exchange = exchange;
        this.model = request.path("model").asText();
        JsonNode messages = request.path("messages");
        String lastUser = "";
        String partialAnswer = "";
        int chars = 0;
        for (JsonNode each : messages) {
            String content = each.path("content").asText();
            chars += content.length();
            earlierMessages.add(content);
            if (each.path("role").asText().equals("user")) {
                lastUser = content;
            }
        }
        if (request.path("continue_final_message").asBoolean(false)) {
            partialAnswer = messages.get(messages.size() - 1).path("content").asText();
        }
        earlierMessages.remove(lastUser);
        this.message = lastUser;
        this.mark = Answers.mark(lastUser);
        this.prefix = messages.path(0).path("content").asText();
        this.promptTokens = Math.max(1, chars / 4);
        this.priority = request.path("priority").asInt(0);
        this.length = Answers.length(lastUser, engine);
        this.resumed = !partialAnswer.isEmpty();
        this.nextIndex = partialAnswer.isEmpty() ? 0 : partialAnswer.split(" ").length;
        this.maxLength = nextIndex + request.path("max_tokens").asInt(Integer.MAX_VALUE / 2);
    }

    String mark() {
        return mark;
    }

    boolean resumed() {
        return resumed;
    }

    /** Returns whether the prompt has a message with some content before the one that is answered. */
    boolean hasEarlierMessage(String content) {
        return earlierMessages.contains(content);
    }

    String prefix() {
        return prefix;
    }

    int promptTokens() {
        return promptTokens;
    }

    int priority() {
        return priority;
    }

    long remainingPrefillTokens() {
        return remainingPrefillTokens;
    }

    void remainingPrefillTokens(long tokens) {
        remainingPrefillTokens = tokens;
    }

    /** Returns the number of tokens in the KV memory. */
    long kvTokens() {
        return promptTokens + nextIndex;
    }

    boolean clientGone() {
        return clientGone;
    }

    /** Returns whether the number of unsent events has reached its limit, so that computing pauses (backpressure). */
    synchronized boolean clientBehind() {
        return unsent.size() >= MAX_UNSENT_EVENTS;
    }

    void begin() {
        exchange.response().setStatus(200);
        exchange.response().getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    }

    /** Computes the next token; returns whether the answer has ended. */
    boolean step() {
        StringBuilder event = new StringBuilder();
        if (nextIndex < length) {
            event.append(chunk(Answers.token(mark, nextIndex, length), null));
            nextIndex++;
        }
        boolean stop = nextIndex >= length;
        boolean limitReached = nextIndex >= maxLength;
        if (stop || limitReached) {
            event.append(chunk("", stop ? "stop" : "length")).append("data: [DONE]\n\n");
        }
        synchronized (this) {
            unsent.add(event.toString().getBytes(StandardCharsets.UTF_8));
            ended = stop || limitReached;
        }
        iterate();
        return stop || limitReached;
    }

    private String chunk(String content, String finish) {
        String reason = finish == null ? "null" : "\"" + finish + "\"";
        return "data: {\"id\":\"" + mark + "\",\"object\":\"chat.completion.chunk\",\"model\":\"" + model
                + "\"," + fingerprint() + "\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content
                + "\"},\"finish_reason\":" + reason
                + "}]}\n\n";
    }

    private String fingerprint() {
        return softwareVersion.isEmpty() ? "" : "\"system_fingerprint\":\"" + softwareVersion + "\",";
    }

    /** Aborts the stream as in a crash of the engine. */
    void crash() {
        clientGone = true;
        abort(new IOException("the engine crashed"));
        exchange.callback().failed(new IOException("the engine crashed"));
    }

    @Override
    protected Action process() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        boolean last;
        synchronized (this) {
            if (written) {
                return Action.SUCCEEDED;
            }
            if (unsent.isEmpty()) {
                return Action.IDLE;
            }
            unsent.forEach(out::writeBytes);
            unsent.clear();
            last = ended;
            written = last;
        }
        exchange.response().write(last, ByteBuffer.wrap(out.toByteArray()), this);
        return Action.SCHEDULED;
    }

    @Override
    protected void onCompleteSuccess() {
        exchange.callback().succeeded();
    }

    @Override
    protected void onCompleteFailure(Throwable cause) {
        clientGone = true;
        exchange.callback().failed(cause);
    }

    @Override
    public String toString() {
        return "answer to " + message.length() + " characters";
    }
}
