package org.tanagerhinge.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Parses the server-sent events of a chat completion: text, token count, finish reason and end marker. */
final class CompletionStreamParser {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA_PREFIX = "data:";
    private static final String END_MARKER = "[DONE]";
    /** Maximum size of a line; a longer one is malformed and is not kept, since it may have no end. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    /** Tokens and UTF-8 text parsed since the last call of {@link #takeOutput}. */
    record Output(long tokens, byte[] text) {}

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private long tokens;
    private String softwareVersion = "";
    private boolean softwareVersionTaken;
    private String finishReason;
    private boolean endMarkerSeen;
    private boolean malformed;

    void feed(byte[] data) {
        for (byte b : data) {
            if (b == '\n') {
                parseLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else if (line.size() < MAX_LINE_BYTES) {
                line.write(b);
            } else {
                malformed = true;
            }
        }
    }

    private void parseLine(String raw) {
        if (!raw.startsWith(DATA_PREFIX)) {
            return;
        }
        String event = raw.substring(DATA_PREFIX.length()).trim();
        if (event.equals(END_MARKER)) {
            endMarkerSeen = true;
            return;
        }
        try {
            parseEvent(JSON.readTree(event));
        } catch (IOException e) {
            malformed = true;
        }
    }

    private void parseEvent(JsonNode event) {
        if (event.has("error")) {
            malformed = true;
            return;
        }
        if (softwareVersion.isEmpty()) {
            softwareVersion = event.path("system_fingerprint").asText("");
        }
        JsonNode choice = event.path("choices").path(0);
        String content = choice.path("delta").path("content").asText("");
        if (!content.isEmpty()) {
            text.writeBytes(content.getBytes(StandardCharsets.UTF_8));
            tokens++;
        }
        if (choice.path("finish_reason").isTextual()) {
            finishReason = choice.path("finish_reason").asText();
        }
    }

    /** Returns the software version that the answer states as its system fingerprint, once. */
    Optional<String> takeSoftwareVersion() {
        if (softwareVersion.isEmpty() || softwareVersionTaken) {
            return Optional.empty();
        }
        softwareVersionTaken = true;
        return Optional.of(softwareVersion);
    }

    /** Returns the output parsed since the last call. */
    Output takeOutput() {
        Output output = new Output(tokens, text.toByteArray());
        tokens = 0;
        text.reset();
        return output;
    }

    /** Returns whether a finish reason and the end marker were received and no event was malformed or an error. */
    boolean isComplete() {
        return endMarkerSeen && finishReason != null && !malformed;
    }

    String finishReason() {
        return finishReason;
    }
}
