package org.tanagerhinge.router;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.tanagerhinge.core.attempt.PartId;
import org.tanagerhinge.core.attempt.PartQuarantine;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;

/**
 * The fields of a chat completion's body that the router uses.
 *
 * @param promptUnits estimated tokens of the prompt
 * @param sharedParts the messages before the last one, which other conversations may share; the first distinct ones
 * @param affinity digest of the model and the beginning of the first message, equal for requests with a common prefix
 */
record CompletionBody(String model, boolean stream, long promptUnits, List<PartId> sharedParts, String affinity) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CHARS_PER_TOKEN = 4;
    private static final int AFFINITY_PREFIX_CHARS = 1024;
    private static final int AFFINITY_DIGEST_CHARS = 16;

    static CompletionBody parse(byte[] body) throws MalformedCallException {
        JsonNode root = parseObject(body);
        JsonNode model = root.path("model");
        if (!model.isTextual()) {
            throw malformed("model: expected a string, got " + typeName(model));
        }
        JsonNode messages = root.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw malformed("messages: expected an array of at least one message, got " + typeName(messages));
        }
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            throw malformed("stream: expected true or false, got " + typeName(stream));
        }
        if (root.path("n").asInt(1) != 1) {
            throw malformed("n: expected 1, got " + typeName(root.path("n")));
        }
        long chars = 0;
        for (JsonNode message : messages) {
            chars += message.path("content").toString().length();
        }
        return new CompletionBody(
                model.asText(),
                stream.asBoolean(false),
                chars / CHARS_PER_TOKEN,
                sharedParts(messages),
                affinity(model.asText(), messages));
    }

    private static List<PartId> sharedParts(JsonNode messages) {
        Set<PartId> parts = new LinkedHashSet<>();
        for (int i = 0; i < messages.size() - 1 && parts.size() < PartQuarantine.MAX_PARTS_PER_PROMPT; i++) {
            JsonNode message = messages.get(i);
            parts.add(PartId.ofContent(message.path("role").asText() + "\n" + message.path("content")));
        }
        return List.copyOf(parts);
    }

    private static JsonNode parseObject(byte[] body) throws MalformedCallException {
        try {
            JsonNode root = JSON.readTree(body);
            if (root == null || !root.isObject()) {
                throw malformed("the body is not a JSON object");
            }
            return root;
        } catch (JsonProcessingException e) {
            throw malformed("the body is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw malformed("the body cannot be read: " + e.getMessage());
        }
    }

    private static String affinity(String model, JsonNode messages) {
        String first = messages.get(0).path("content").toString();
        String prefix = first.substring(0, Math.min(first.length(), AFFINITY_PREFIX_CHARS));
        return KeyDigest.sha256Hex(model + "\n" + prefix).substring(0, AFFINITY_DIGEST_CHARS);
    }

    private static String typeName(JsonNode node) {
        return node.isMissingNode() ? "nothing" : node.getNodeType().toString().toLowerCase(java.util.Locale.ROOT);
    }

    private static MalformedCallException malformed(String detail) {
        return new MalformedCallException(RequestFailure.notRun(ResultCode.MALFORMED_BODY, detail));
    }
}
