package org.tanagerhinge.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;

/**
 * Writes one response to its caller on traffic threads, in the order in which the control thread delivered its parts.
 *
 * <p>Output that the caller has not read yet is buffered here. Agents receive credit only for units that were written,
 * so the buffer is bounded by an agent's credit window.
 */
final class CallerSession extends IteratingCallback {
    private static final System.Logger LOGGER = System.getLogger(CallerSession.class.getName());
    private static final String REQUEST_HEADER = "X-Tanagerhinge-Request";

    /** Receives the progress of the writing. */
    interface Listener {
        void onUnitsWritten(RequestId request, long units);

        void onWriteFailed(RequestId request);

        /** Reports that nothing more will be written. */
        void onFinished(RequestId request);
    }

    private sealed interface Event {
        record Head(int status, String contentType) implements Event {}

        record Chunk(long units, byte[] data) implements Event {}

        record Complete(String finishReason, long units) implements Event {}

        record Failed(RequestFailure failure) implements Event {}

        /** The caller hung up; only its connection remains to be released. */
        record Abandoned() implements Event {}
    }

    private final RequestId request;
    private final Response response;
    private final Callback callback;
    private final Executor trafficExecutor;
    private final Listener listener;
    private final Queue<Event> events = new ConcurrentLinkedQueue<>();
    private ResponseFormat format;
    private boolean committed;
    private boolean ending;
    private boolean truncated;
    private long unitsBeingWritten;

    CallerSession(
            RequestId request,
            Response response,
            Callback callback,
            ResponseFormat format,
            Executor trafficExecutor,
            Listener listener) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.format = format;
        this.trafficExecutor = trafficExecutor;
        this.listener = listener;
    }

    void head(int status, String contentType) {
        enqueue(new Event.Head(status, contentType));
    }

    void chunk(long units, byte[] data) {
        enqueue(new Event.Chunk(units, data));
    }

    void complete(String finishReason, long units) {
        enqueue(new Event.Complete(finishReason, units));
    }

    void fail(RequestFailure failure) {
        enqueue(new Event.Failed(failure));
    }

    /** Ends a session whose caller hung up; otherwise the HTTP server would keep the exchange forever. */
    void abandon() {
        enqueue(new Event.Abandoned());
    }

    private void enqueue(Event event) {
        events.add(event);
        trafficExecutor.execute(this::iterate);
    }

    @Override
    protected Action process() {
        if (ending) {
            return Action.SUCCEEDED;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        unitsBeingWritten = 0;
        boolean anyEvent = false;
        while (!ending && !events.isEmpty()) {
            anyEvent = true;
            apply(events.poll(), out);
        }
        if (!anyEvent) {
            return Action.IDLE;
        }
        if (out.size() == 0 && !ending) {
            succeeded();
            return Action.SCHEDULED;
        }
        if (truncated && out.size() == 0) {
            return Action.SUCCEEDED;
        }
        boolean last = ending && !truncated;
        if (!committed && !last) {
            frameByChunks();
        }
        committed = true;
        response.write(last, ByteBuffer.wrap(out.toByteArray()), this);
        return Action.SCHEDULED;
    }

    private void apply(Event event, ByteArrayOutputStream out) {
        switch (event) {
            case Event.Head head -> {
                format = new ResponseFormat.PassThrough(head.contentType());
                response.setStatus(head.status());
                commonHeaders();
            }
            case Event.Chunk chunk -> {
                if (!committed) {
                    commonHeaders();
                }
                unitsBeingWritten += chunk.units();
                out.writeBytes(format.chunk(chunk.data()));
            }
            case Event.Complete complete -> {
                if (!committed) {
                    commonHeaders();
                    response.getHeaders().put(ResultCode.HEADER, Integer.toString(ResultCode.OK.number()));
                }
                out.writeBytes(format.end(complete.finishReason(), complete.units()));
                ending = true;
            }
            case Event.Abandoned abandoned -> {
                ending = true;
                truncated = true;
            }
            case Event.Failed failed -> {
                ending = true;
                if (committed || out.size() > 0) {
                    truncated = true;
                    out.writeBytes(format.truncated(failed.failure()));
                } else {
                    failureHead(failed.failure());
                    out.writeBytes(ErrorBody.of(failed.failure()).getBytes(StandardCharsets.UTF_8));
                }
            }
        }
    }

    /** Marks the end of the response by a last chunk, also on a connection that ends with it. */
    private void frameByChunks() {
        if (httpVersion() == HttpVersion.HTTP_1_1) {
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
        }
    }

    private HttpVersion httpVersion() {
        return response.getRequest().getConnectionMetaData().getHttpVersion();
    }

    private void commonHeaders() {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, format.contentType());
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
        response.getHeaders().put(REQUEST_HEADER, request.value());
    }

    private void failureHead(RequestFailure failure) {
        response.setStatus(failure.code().httpStatus());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(REQUEST_HEADER, request.value());
        response.getHeaders()
                .put(ResultCode.HEADER, Integer.toString(failure.code().number()));
        if (failure.code() == ResultCode.UNKNOWN_KEY) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
        }
        if (!failure.retryAfter().isZero()) {
            long seconds = Math.max(1, (failure.retryAfter().toMillis() + 999) / 1000);
            response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(seconds));
        }
    }

    @Override
    protected void onSuccess() {
        if (unitsBeingWritten > 0) {
            listener.onUnitsWritten(request, unitsBeingWritten);
            unitsBeingWritten = 0;
        }
    }

    @Override
    protected void onCompleteSuccess() {
        listener.onFinished(request);
        if (truncated) {
            // A response that ends normally would make the truncated answer look complete.
            if (httpVersion() != HttpVersion.HTTP_1_1) {
                resetOnClose();
            }
            callback.failed(new EofException("the answer was truncated"));
        } else {
            callback.succeeded();
        }
    }

    /** Has the connection reset by its close, the only mark of a truncated response that is not framed. */
    private void resetOnClose() {
        CallerHandler.channelOf(response.getRequest()).ifPresent(channel -> {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                LOGGER.log(System.Logger.Level.DEBUG, "a connection was closed before it could be reset", e);
            }
        });
    }

    @Override
    protected void onCompleteFailure(Throwable cause) {
        listener.onWriteFailed(request);
        listener.onFinished(request);
        callback.failed(cause);
    }
}
