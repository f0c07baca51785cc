package org.tanagerhinge.router;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tanagerhinge.core.result.RequestFailure;

/** Renders a failure as an error body in the OpenAI format, with its numeric code and whether the request ran. */
final class ErrorBody {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private ErrorBody() {}

    static String of(RequestFailure failure) {
        ObjectNode root = JSON.createObjectNode();
        String type = failure.code().httpStatus() < MIN_SERVER_ERROR_STATUS ? "invalid_request_error" : "server_error";
        root.putObject("error")
                .put("message", failure.detail())
                .put("type", type)
                .put("code", failure.code().number())
                .put("name", failure.code().label())
                .put("run", failure.outcome().label());
        return root.toString();
    }
}
