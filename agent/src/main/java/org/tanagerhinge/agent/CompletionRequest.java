package org.tanagerhinge.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.message.Frame;

/**
 * Builds the body of a chat completion request to the engine from the caller's.
 *
 * <p>It always asks for a stream and bears the tier as the engine's priority. To resume an answer, the text produced so
 * far is added as an assistant message that the engine continues.
 */
final class CompletionRequest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private CompletionRequest() {}

    static byte[] body(Frame.Submit submit, BackendCall.ModelCall call) {
        try {
            ObjectNode request = (ObjectNode) JSON.readTree(call.body());
            request.put("stream", true);
            request.put("priority", submit.work().scheduling().tier());
            request.remove("stream_options");
            if (submit.resumeFromUnits() > 0) {
                appendPartialAnswer(request, submit);
            }
            return JSON.writeValueAsBytes(request);
        } catch (IOException e) {
            throw new UncheckedIOException("the router sent a body that is not JSON", e);
        }
    }

    private static void appendPartialAnswer(ObjectNode request, Frame.Submit submit) {
        JsonNode messages = request.path("messages");
        ((ArrayNode) messages).addObject().put("role", "assistant").put("content", submit.resumeText());
        request.put("continue_final_message", true);
        request.put("add_generation_prompt", false);
        JsonNode maxTokens = request.path("max_tokens");
        if (maxTokens.isInt()) {
            request.put("max_tokens", Math.max(1, maxTokens.asInt() - submit.resumeFromUnits()));
        }
    }
}
