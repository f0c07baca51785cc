package org.tanagerhinge.router;

import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.router.IncomingRequest;

/** Reads callers' requests and opens a session for each. */
final class CallerHandler extends Handler.Abstract {
    private static final String COMPLETIONS = "/v1/chat/completions";
    private static final String MODELS = "/v1/models";
    private static final String SERVICES = "/v1/services/";
    private static final String PROFILE_HEADER = "X-Tanagerhinge-Profile";
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String BEARER = "Bearer ";
    private static final int LONGEST_HEADER = 8 * 1024;

    private final RouterDaemon daemon;
    private final int mostBodyBytes;

    CallerHandler(RouterDaemon daemon, int mostBodyBytes) {
        super(InvocationType.NON_BLOCKING);
        this.daemon = daemon;
        this.mostBodyBytes = mostBodyBytes;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        RequestId id = daemon.nextRequestId();
        String path = Request.getPathInContext(request);
        CallerSession refusing = daemon.session(id, response, callback, new AnswerFormat.PassThrough(""));
        Optional<RequestFailure> wrong = wrongHead(request, path);
        if (wrong.isPresent()) {
            daemon.countRefusal(wrong.get());
            if (request.getLength() != 0) {
                // The body stays unread, so the connection ends; a caller that isn't told sends its next request on it.
                response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
            }
            refusing.refuse(wrong.get());
            return true;
        }
        if (path.equals(MODELS)) {
            models(request, refusing);
            return true;
        }
        Content.Source.asByteArrayAsync(
                request,
                mostBodyBytes,
                Promise.Invocable.from(
                        InvocationType.NON_BLOCKING,
                        body -> arrive(id, request, response, callback, path, body),
                        failure -> refuseUnread(refusing, failure)));
        return true;
    }

    private Optional<RequestFailure> wrongHead(Request request, String path) {
        for (HttpField field : request.getHeaders()) {
            if (field.getValue() != null && field.getValue().length() > LONGEST_HEADER) {
                return Optional.of(RequestFailure.notRun(
                        ResultCode.HEADER_TOO_LONG,
                        field.getName() + ": expected " + LONGEST_HEADER + " characters at the most, got "
                                + field.getValue().length()));
            }
        }
        boolean known = path.equals(COMPLETIONS) || path.equals(MODELS) || path.startsWith(SERVICES);
        if (!known) {
            return Optional.of(RequestFailure.notRun(
                    ResultCode.UNKNOWN_PATH,
                    "path '" + path + "': expected " + COMPLETIONS + ", " + MODELS + " or " + SERVICES
                            + "{service}/..."));
        }
        String method = request.getMethod();
        String wanted = path.equals(COMPLETIONS) ? "POST" : path.equals(MODELS) ? "GET" : method;
        if (!method.equals(wanted)) {
            return Optional.of(
                    RequestFailure.notRun(ResultCode.BAD_METHOD, method + " " + path + ": expected " + wanted));
        }
        if (request.getLength() > mostBodyBytes) {
            return Optional.of(tooLarge());
        }
        return Optional.empty();
    }

    private RequestFailure tooLarge() {
        return RequestFailure.notRun(ResultCode.BODY_TOO_LARGE, "the body is over " + mostBodyBytes + " bytes");
    }

    private void refuseUnread(CallerSession session, Throwable failure) {
        boolean tooLarge = failure instanceof IllegalStateException || failure instanceof IllegalArgumentException;
        RequestFailure refusal = tooLarge
                ? tooLarge()
                : RequestFailure.notRun(ResultCode.MALFORMED_BODY, "the body cannot be read: " + failure.getMessage());
        daemon.countRefusal(refusal);
        session.refuse(refusal);
    }

    private void models(Request request, CallerSession session) {
        Optional<String> list = daemon.models(keyHash(request));
        if (list.isEmpty()) {
            RequestFailure refusal = RequestFailure.notRun(ResultCode.UNKNOWN_KEY, ResultCode.UNKNOWN_KEY.meaning());
            daemon.countRefusal(refusal);
            session.refuse(refusal);
            return;
        }
        session.head(200, "application/json");
        session.piece(0, list.get().getBytes(StandardCharsets.UTF_8));
        session.complete("", 0);
    }

    private void arrive(RequestId id, Request request, Response response, Callback callback, String path, byte[] body) {
        try {
            boolean model = path.equals(COMPLETIONS);
            Parsed parsed = model ? parseCompletion(id, request, body) : parseService(id, request, path, body);
            CallerSession session = daemon.session(id, response, callback, parsed.format());
            channelOf(request).ifPresent(channel -> daemon.watch(id, channel));
            daemon.arrived(parsed.arrival(), session);
        } catch (MalformedCallException e) {
            daemon.countRefusal(e.refusal());
            daemon.session(id, response, callback, new AnswerFormat.PassThrough(""))
                    .refuse(e.refusal());
        }
    }

    private static Optional<SocketChannel> channelOf(Request request) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        return endPoint instanceof SocketChannelEndPoint socket ? Optional.of(socket.getChannel()) : Optional.empty();
    }

    private record Parsed(IncomingRequest arrival, AnswerFormat format) {}

    private static Parsed parseCompletion(RequestId id, Request request, byte[] body) throws MalformedCallException {
        CompletionCall call = CompletionCall.parse(body);
        long created = Instant.now().getEpochSecond();
        AnswerFormat format = call.stream()
                ? new AnswerFormat.Streamed(id, call.model(), created)
                : new AnswerFormat.Whole(id, call.model(), created, call.promptUnits());
        IncomingRequest arrival = new IncomingRequest(
                id,
                keyHash(request),
                header(request, PROFILE_HEADER).orElse(""),
                ServerKind.MODEL,
                call.model(),
                new BackendCall.ModelCall(body),
                header(request, KEY_HEADER),
                digest(COMPLETIONS, body),
                call.promptUnits(),
                call.affinity());
        return new Parsed(arrival, format);
    }

    private static Parsed parseService(RequestId id, Request request, String path, byte[] body)
            throws MalformedCallException {
        String rest = path.substring(SERVICES.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String servicePath = slash < 0 ? "/" : rest.substring(slash);
        if (service.isEmpty()) {
            throw new MalformedCallException(RequestFailure.notRun(
                    ResultCode.UNKNOWN_SERVICE, "path '" + path + "': expected " + SERVICES + "{service}/..."));
        }
        String query = request.getHttpURI().getQuery();
        String full = query == null ? servicePath : servicePath + "?" + query;
        String type = header(request, HttpHeader.CONTENT_TYPE.asString()).orElse("application/octet-stream");
        IncomingRequest arrival = new IncomingRequest(
                id,
                keyHash(request),
                header(request, PROFILE_HEADER).orElse(""),
                ServerKind.SERVICE,
                service,
                new BackendCall.ServiceCall(request.getMethod(), full, type, body),
                header(request, KEY_HEADER),
                digest(request.getMethod() + " " + full, body),
                0,
                "");
        return new Parsed(arrival, new AnswerFormat.PassThrough("application/octet-stream"));
    }

    private static Optional<String> header(Request request, String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    private static String keyHash(Request request) {
        String authorization = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            return "";
        }
        return KeyDigest.sha256Hex(authorization.substring(BEARER.length()).trim());
    }

    private static String digest(String what, byte[] body) {
        return KeyDigest.sha256Hex(what + "\n" + new String(body, StandardCharsets.ISO_8859_1));
    }
}
