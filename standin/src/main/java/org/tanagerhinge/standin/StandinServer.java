package org.tanagerhinge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A small HTTP server on loopback that passes method, path and body of each request to a handler. */
final class StandinServer implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final int MAX_THREADS = 24;
    private static final int MIN_THREADS = 4;

    /** Handles one request whose body has been read. */
    interface RequestHandler {
        void handle(String method, String path, byte[] body, Exchange exchange) throws IOException;
    }

    /** A request and its pending response. */
    record Exchange(Request request, Response response, Callback callback) {
        /** Adds a header to the answer. */
        void header(String name, String value) {
            response.getHeaders().put(name, value);
        }

        void json(int status, JsonNode node) {
            text(status, "application/json", node.toString());
        }

        void text(int status, String type, String body) {
            response.setStatus(status);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
            Content.Sink.write(response, true, body, callback);
        }

        /** Aborts the connection. */
        void abort() {
            callback.failed(new IOException("injected fault"));
        }
    }

    private final Server server;
    private final ServerConnector connector;

    private StandinServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    static StandinServer start(int port, String name, RequestHandler handler) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        Server server = new Server(threads);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory());
        connector.setHost("127.0.0.1");
        connector.setPort(port);
        connector.setAcceptQueueSize(1024);
        connector.setIdleTimeout(600_000);
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                Content.Source.asByteArrayAsync(
                        request,
                        MAX_BODY_BYTES,
                        Promise.Invocable.from(
                                InvocationType.NON_BLOCKING,
                                body -> dispatch(handler, body, new Exchange(request, response, callback)),
                                callback::failed));
                return true;
            }
        });
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot serve on port " + port, e);
        }
        return new StandinServer(server, connector);
    }

    private static void dispatch(RequestHandler handler, byte[] body, Exchange exchange) {
        try {
            Request request = exchange.request();
            handler.handle(request.getMethod(), Request.getPathInContext(request), body, exchange);
        } catch (IOException | RuntimeException e) {
            exchange.callback().failed(e);
        }
    }

    int port() {
        return connector.getLocalPort();
    }

    String url() {
        return "http://127.0.0.1:" + port();
    }

    static JsonNode parseJson(byte[] body) throws IOException {
        return JSON.readTree(new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        try {
            server.setStopTimeout(0);
            server.stop();
        } catch (Exception e) {
            System.getLogger(StandinServer.class.getName()).log(System.Logger.Level.DEBUG, "stop", e);
        }
    }
}
