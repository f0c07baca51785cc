package org.tanagerhinge.router;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.result.RequestFailure;

/** Encodes an answer as the bytes of an HTTP response body. Used by one thread at a time. */
sealed interface ResponseFormat {
    /** Returns the content type of the response. */
    String contentType();

    /** Returns the bytes to write for a chunk of the answer; empty to write nothing yet. */
    byte[] chunk(byte[] data);

    /** Returns the bytes to write at the end of a complete answer. */
    byte[] end(String finishReason, long units);

    /** Returns the bytes to write when the answer is truncated after chunks of it were written. */
    byte[] truncated(RequestFailure failure);

    /** Passes the answer of a plain service through unchanged. */
    record PassThrough(String contentType) implements ResponseFormat {
        @Override
        public byte[] chunk(byte[] data) {
            return data;
        }

        @Override
        public byte[] end(String finishReason, long units) {
            return new byte[0];
        }

        @Override
        public byte[] truncated(RequestFailure failure) {
            return new byte[0];
        }
    }

    /** Encodes a chat completion as server-sent events. */
    final class EventStream implements ResponseFormat {
        private final CompletionJson json;
        private boolean roleSent;

        EventStream(RequestId request, String model, long created) {
            this.json = new CompletionJson(request, model, created);
        }

        @Override
        public String contentType() {
            return "text/event-stream; charset=utf-8";
        }

        @Override
        public byte[] chunk(byte[] data) {
            ObjectNode delta = CompletionJson.MAPPER.createObjectNode();
            if (!roleSent) {
                delta.put("role", "assistant");
                roleSent = true;
            }
            delta.put("content", new String(data, StandardCharsets.UTF_8));
            return event(json.chunk(delta, null).toString());
        }

        @Override
        public byte[] end(String finishReason, long units) {
            ObjectNode last = json.chunk(CompletionJson.MAPPER.createObjectNode(), finishReason);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes(event(last.toString()));
            out.writeBytes(event("[DONE]"));
            return out.toByteArray();
        }

        @Override
        public byte[] truncated(RequestFailure failure) {
            return event(ErrorBody.of(failure));
        }

        private static byte[] event(String data) {
            return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        }
    }

    /** Buffers a chat completion and encodes it as one JSON object. */
    final class Buffered implements ResponseFormat {
        private final CompletionJson json;
        private final ByteArrayOutputStream text = new ByteArrayOutputStream();
        private final long promptUnits;

        Buffered(RequestId request, String model, long created, long promptUnits) {
            this.json = new CompletionJson(request, model, created);
            this.promptUnits = promptUnits;
        }

        @Override
        public String contentType() {
            return "application/json";
        }

        @Override
        public byte[] chunk(byte[] data) {
            text.writeBytes(data);
            return new byte[0];
        }

        @Override
        public byte[] end(String finishReason, long units) {
            return json.completion(text.toString(StandardCharsets.UTF_8), finishReason, promptUnits, units)
                    .toString()
                    .getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public byte[] truncated(RequestFailure failure) {
            return new byte[0];
        }
    }

    /** Builds the JSON objects of chat completions in the OpenAI format. */
    record CompletionJson(RequestId request, String model, long created) {
        static final ObjectMapper MAPPER = new ObjectMapper();

        ObjectNode chunk(ObjectNode delta, String finishReason) {
            ObjectNode root = root("chat.completion.chunk");
            ObjectNode choice = root.putArray("choices").addObject();
            choice.put("index", 0);
            choice.set("delta", delta);
            choice.put("finish_reason", finishReason);
            return root;
        }

        ObjectNode completion(String text, String finishReason, long promptUnits, long units) {
            ObjectNode root = root("chat.completion");
            ObjectNode choice = root.putArray("choices").addObject();
            choice.put("index", 0);
            choice.putObject("message").put("role", "assistant").put("content", text);
            choice.put("finish_reason", finishReason);
            root.putObject("usage")
                    .put("prompt_tokens", promptUnits)
                    .put("completion_tokens", units)
                    .put("total_tokens", promptUnits + units);
            return root;
        }

        private ObjectNode root(String object) {
            return MAPPER.createObjectNode()
                    .put("id", "chatcmpl-" + request)
                    .put("object", object)
                    .put("created", created)
                    .put("model", model);
        }
    }
}
