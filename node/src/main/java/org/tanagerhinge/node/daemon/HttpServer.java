package org.tanagerhinge.node.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.tanagerhinge.core.memory.MemoryBound;
import org.tanagerhinge.core.result.ResultCode;
import org.tanagerhinge.core.result.TanagerhingeException;
import org.tanagerhinge.core.time.SteadyClock;

/** Jetty server on one address that serves pages such as {@code /metrics} and passes other paths to a handler. */
public final class HttpServer implements AutoCloseable {
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MIN_THREADS = 4;
    private static final int MAX_THREADS = 32;
    private static final int ACCEPT_QUEUE_SIZE = 1024;
    /** Most bytes that the kernel keeps for a connection that isn't read; the kernel doubles what it is told. */
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;
    /** Time without a byte after which a connection is closed while there are as many as there may be. */
    private static final Duration CROWDED_IDLE = Duration.ofSeconds(2);
    /** Time without a byte after which a graceful shutdown closes a connection. */
    private static final Duration SHUTDOWN_IDLE = Duration.ofMillis(500);
    /** When a caller may come back for whose request there was no memory. */
    public static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    /** Maximum time that a graceful shutdown takes. */
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Limits of what connections may make the process hold.
     *
     * @param connections most open connections; when there are as many, silent ones are closed and no more accepted
     * @param memory bound of heads that are not complete
     * @param clock clock of the bound
     */
    public record Limits(int connections, MemoryBound memory, InstantSource clock) {
        /** Returns limits with a bound of their own, in bytes. */
        public static Limits of(int connections, long memoryBytes) {
            InstantSource clock = SteadyClock.create();
            return new Limits(connections, new MemoryBound(() -> memoryBytes, clock::millis), clock);
        }
    }

    /** Returns the memory that the head of a request takes, in bytes. */
    public static long headMemory(Request request) {
        return request.getHeaders().stream()
                .mapToLong(BoundedHttpConnectionFactory::memory)
                .sum();
    }

    /** Content of a page, produced at each request. */
    public record Page(int status, String contentType, String body) {
        /** Returns a plain text page. */
        public static Page text(int status, String body) {
            return new Page(status, "text/plain; charset=utf-8", body);
        }
    }

    /** Thrown when the server cannot listen on its address. */
    public static final class HttpServerException extends TanagerhingeException {
        private static final long serialVersionUID = 1L;

        HttpServerException(InetSocketAddress address, Throwable cause) {
            super("cannot serve HTTP on " + address + ": " + cause.getMessage(), cause);
        }
    }

    private final Server server;
    private final ServerConnector connector;

    private HttpServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /**
     * Starts a server.
     *
     * @param limits what connections may make the process hold
     * @param pages page suppliers by path
     * @param fallback handles all other paths
     */
    public static HttpServer start(
            InetSocketAddress address, Limits limits, Map<String, Supplier<Page>> pages, Handler fallback)
            throws HttpServerException {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("http");
        threads.setDaemon(true);
        Server server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(MAX_HEADER_BYTES);
        http.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(
                server, 1, 2, new BoundedHttpConnectionFactory(http, limits.memory(), limits.clock()));
        connector.setAcceptedReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        NetworkConnectionLimit connections = new NetworkConnectionLimit(limits.connections(), connector);
        connections.setEndPointIdleTimeout(CROWDED_IDLE.toMillis());
        server.addBean(connections);
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
        server.addConnector(connector);
        server.setHandler(new PageHandler(pages, fallback));
        server.setErrorHandler(new ResultCodeErrorHandler());
        try {
            server.start();
        } catch (Exception e) {
            throw new HttpServerException(address, e);
        }
        return new HttpServer(server, connector);
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return connector.getLocalPort();
    }

    /**
     * Stops accepting connections and waits until those that are open have ended: after a response that says so, or when
     * they have been idle for a time.
     */
    public void closeGracefully() {
        connector.setShutdownIdleTimeout(SHUTDOWN_IDLE.toMillis());
        close(SHUTDOWN_TIMEOUT);
    }

    @Override
    public void close() {
        close(Duration.ZERO);
    }

    private void close(Duration timeout) {
        try {
            server.setStopTimeout(timeout.toMillis());
            server.stop();
        } catch (Exception e) {
            System.getLogger(HttpServer.class.getName())
                    .log(System.Logger.Level.WARNING, "the HTTP server did not stop cleanly", e);
        }
    }

    private static final class PageHandler extends Handler.Wrapper {
        private final Map<String, Supplier<Page>> pages;

        PageHandler(Map<String, Supplier<Page>> pages, Handler fallback) {
            super(fallback);
            this.pages = Map.copyOf(pages);
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            Supplier<Page> page = pages.get(Request.getPathInContext(request));
            if (page == null || !request.getMethod().equals("GET")) {
                return super.handle(request, response, callback);
            }
            Page content = page.get();
            response.setStatus(content.status());
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, content.contentType());
            Content.Sink.write(response, true, content.body(), callback);
            return true;
        }
    }

    /** Adds a result code to responses to requests that the HTTP server cannot parse. */
    private static final class ResultCodeErrorHandler extends ErrorHandler {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            ResultCode code = resultCode(response.getStatus());
            response.getHeaders().put(ResultCode.HEADER, Integer.toString(code.number()));
            if (code.retryable()) {
                response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(RETRY_AFTER.toSeconds()));
            }
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
            Content.Sink.write(response, true, code.meaning() + "\n", callback);
            return true;
        }

        private static ResultCode resultCode(int status) {
            return switch (status) {
                case 404 -> ResultCode.UNKNOWN_PATH;
                case 405 -> ResultCode.BAD_METHOD;
                case 413 -> ResultCode.BODY_TOO_LARGE;
                case 431 -> ResultCode.HEADER_TOO_LONG;
                case 503 -> ResultCode.MEMORY_FULL;
                default -> status < 500 ? ResultCode.MALFORMED_BODY : ResultCode.INTERNAL;
            };
        }
    }
}
