package org.tanagerhinge.router;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tanagerhinge.core.result.RequestFailure;

/** The error body in the OpenAI shape, with the numbered code and what is known about whether the request ran. */
final class ErrorBody {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int FIRST_SERVER_FAULT = 500;

    private ErrorBody() {}

    static String of(RequestFailure refusal) {
        ObjectNode root = JSON.createObjectNode();
        String type = refusal.code().httpStatus() < FIRST_SERVER_FAULT ? "invalid_request_error" : "server_error";
        root.putObject("error")
                .put("message", refusal.detail())
                .put("type", type)
                .put("code", refusal.code().number())
                .put("name", refusal.code().label())
                .put("run", refusal.outcome().label());
        return root.toString();
    }
}
