package org.tanagerhinge.router;

import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.tanagerhinge.core.config.ServerKind;
import org.tanagerhinge.core.id.KeyDigest;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.memory.MemoryBound;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.router.IncomingRequest;
import org.tanagerhinge.node.daemon.HttpServer;

/** Parses and validates callers' HTTP requests and opens a session for each. */
final class CallerHandler extends Handler.Abstract {
    private static final String COMPLETIONS = "/v1/chat/completions";
    private static final String MODELS = "/v1/models";
    private static final String SERVICES = "/v1/services/";
    private static final String PROFILE_HEADER = "X-Tanagerhinge-Profile";
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String BEARER = "Bearer ";
    private static final int LARGE_BODY_BYTES = 256 * 1024;
    private static final int MAX_HEADER_CHARS = 8 * 1024;

    private final RouterDaemon daemon;
    private final int maxBodyBytes;
    private final MemoryBound memory;
    private final InstantSource clock;
    /** Held while a large body is parsed, which may take many times its size. */
    private final Lock largeBodyLock = new ReentrantLock();

    CallerHandler(RouterDaemon daemon, int maxBodyBytes, MemoryBound memory, InstantSource clock) {
        super(InvocationType.NON_BLOCKING);
        this.daemon = daemon;
        this.maxBodyBytes = maxBodyBytes;
        this.memory = memory;
        this.clock = clock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        RequestId id = daemon.nextRequestId();
        String path = Request.getPathInContext(request);
        if (daemon.stopping()) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
        CallerSession plainSession = daemon.newSession(id, response, callback, new ResponseFormat.PassThrough(""));
        Optional<RequestFailure> headFailure = validateHead(request, path);
        if (headFailure.isPresent()) {
            daemon.countFailure(headFailure.get());
            if (request.getLength() != 0) {
                // The body stays unread, so the connection is closed; without this header the caller would reuse it.
                response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
            }
            plainSession.fail(headFailure.get());
            return true;
        }
        if (path.equals(MODELS)) {
            sendModelList(request, plainSession);
            return true;
        }
        new BodyListener(id, request, response, callback, path, plainSession).start();
        return true;
    }

    /** Goes on with a request when its body has been read, or refuses it. */
    private final class BodyListener implements BodyReader.Listener {
        private final RequestId id;
        private final Request request;
        private final Response response;
        private final Callback callback;
        private final String path;
        private final CallerSession plainSession;
        private BodyReader reader;

        BodyListener(
                RequestId id,
                Request request,
                Response response,
                Callback callback,
                String path,
                CallerSession plainSession) {
            this.id = id;
            this.request = request;
            this.response = response;
            this.callback = callback;
            this.path = path;
            this.plainSession = plainSession;
        }

        void start() {
            reader = BodyReader.of(request, maxBodyBytes, memory, clock.millis(), this);
            reader.start();
        }

        @Override
        public void onBody(byte[] body) {
            if (body.length < LARGE_BODY_BYTES) {
                CallerHandler.this.onBody(id, request, response, callback, path, body, reader);
                return;
            }
            largeBodyLock.lock();
            try {
                CallerHandler.this.onBody(id, request, response, callback, path, body, reader);
            } finally {
                largeBodyLock.unlock();
            }
        }

        @Override
        public void onTooLarge() {
            fail(bodyTooLarge());
        }

        @Override
        public void onMemoryFull() {
            // What was not read stays unread, so the connection is closed.
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
            fail(RequestFailure.notRun(
                    ResultCode.MEMORY_FULL, HttpServer.RETRY_AFTER, ResultCode.MEMORY_FULL.meaning()));
        }

        @Override
        public void onFailure(Throwable cause) {
            fail(RequestFailure.notRun(ResultCode.MALFORMED_BODY, "the body cannot be read: " + cause.getMessage()));
        }

        private void fail(RequestFailure failure) {
            reader.close();
            daemon.countFailure(failure);
            plainSession.fail(failure);
        }
    }

    private Optional<RequestFailure> validateHead(Request request, String path) {
        for (HttpField field : request.getHeaders()) {
            if (field.getValue() != null && field.getValue().length() > MAX_HEADER_CHARS) {
                return Optional.of(RequestFailure.notRun(
                        ResultCode.HEADER_TOO_LONG,
                        field.getName() + ": expected " + MAX_HEADER_CHARS + " characters at most, got "
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
        String expectedMethod = path.equals(COMPLETIONS) ? "POST" : path.equals(MODELS) ? "GET" : method;
        if (!method.equals(expectedMethod)) {
            return Optional.of(
                    RequestFailure.notRun(ResultCode.BAD_METHOD, method + " " + path + ": expected " + expectedMethod));
        }
        if (request.getLength() > maxBodyBytes) {
            return Optional.of(bodyTooLarge());
        }
        return Optional.empty();
    }

    private RequestFailure bodyTooLarge() {
        return RequestFailure.notRun(ResultCode.BODY_TOO_LARGE, "the body exceeds " + maxBodyBytes + " bytes");
    }

    private void sendModelList(Request request, CallerSession session) {
        Optional<String> list = daemon.modelList(keyHash(request));
        if (list.isEmpty()) {
            RequestFailure failure = RequestFailure.notRun(ResultCode.UNKNOWN_KEY, ResultCode.UNKNOWN_KEY.meaning());
            daemon.countFailure(failure);
            session.fail(failure);
            return;
        }
        session.head(200, "application/json");
        session.chunk(0, list.get().getBytes(StandardCharsets.UTF_8));
        session.complete("", 0);
    }

    private void onBody(
            RequestId id,
            Request request,
            Response response,
            Callback callback,
            String path,
            byte[] body,
            BodyReader reader) {
        try {
            boolean modelCall = path.equals(COMPLETIONS);
            ParsedCall parsed = modelCall ? parseCompletion(id, request, body) : parseService(id, request, path, body);
            CallerSession session = daemon.newSession(id, response, callback, parsed.format());
            channelOf(request).ifPresent(channel -> daemon.watch(id, channel));
            daemon.submit(parsed.incoming(), session, reader);
        } catch (MalformedCallException e) {
            reader.close();
            daemon.countFailure(e.failure());
            daemon.newSession(id, response, callback, new ResponseFormat.PassThrough(""))
                    .fail(e.failure());
        }
    }

    /** Returns the channel of the connection that a request came on, if it is one of TCP. */
    static Optional<SocketChannel> channelOf(Request request) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        return endPoint instanceof SocketChannelEndPoint socket ? Optional.of(socket.getChannel()) : Optional.empty();
    }

    private record ParsedCall(IncomingRequest incoming, ResponseFormat format) {}

    private static ParsedCall parseCompletion(RequestId id, Request request, byte[] body)
            throws MalformedCallException {
        CompletionBody call = CompletionBody.parse(body);
        long created = Instant.now().getEpochSecond();
        ResponseFormat format = call.stream()
                ? new ResponseFormat.EventStream(id, call.model(), created)
                : new ResponseFormat.Buffered(id, call.model(), created, call.promptUnits());
        IncomingRequest incoming = new IncomingRequest(
                id,
                keyHash(request),
                header(request, PROFILE_HEADER).orElse(""),
                ServerKind.MODEL,
                call.model(),
                new BackendCall.ModelCall(body),
                header(request, KEY_HEADER),
                requestDigest(COMPLETIONS, body),
                call.promptUnits(),
                call.sharedParts(),
                call.affinity());
        return new ParsedCall(incoming, format);
    }

    private static ParsedCall parseService(RequestId id, Request request, String path, byte[] body)
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
        String pathAndQuery = query == null ? servicePath : servicePath + "?" + query;
        String type = header(request, HttpHeader.CONTENT_TYPE.asString()).orElse("application/octet-stream");
        IncomingRequest incoming = new IncomingRequest(
                id,
                keyHash(request),
                header(request, PROFILE_HEADER).orElse(""),
                ServerKind.SERVICE,
                service,
                new BackendCall.ServiceCall(request.getMethod(), pathAndQuery, type, body),
                header(request, KEY_HEADER),
                requestDigest(request.getMethod() + " " + pathAndQuery, body),
                0,
                List.of(),
                "");
        return new ParsedCall(incoming, new ResponseFormat.PassThrough("application/octet-stream"));
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

    private static String requestDigest(String target, byte[] body) {
        return KeyDigest.sha256Hex(target + "\n" + new String(body, StandardCharsets.ISO_8859_1));
    }
}
