package org.tanagerhinge.agent;

import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.tanagerhinge.core.agent.Run;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.result.ResultCode;

/**
 * Calls the backend server over HTTP and passes its output to a listener as it arrives.
 *
 * <p>An answer to a model call is whole with its end marker, any other one with its length or its last chunk. One that
 * has neither ends with its connection, as all do when the server's process is killed, so it is whole only if the server
 * answers its health check afterwards.
 */
final class BackendClient {
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(10);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MIN_ERROR_STATUS = 400;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final String COMPLETE = "complete";

    private final HttpClient client;
    private final String baseUrl;
    private final String probePath;
    private final BackendListener listener;
    private final Map<Long, Exchange> exchanges = new ConcurrentHashMap<>();

    BackendClient(HttpClient client, String baseUrl, String probePath, BackendListener listener) {
        this.client = client;
        this.baseUrl = baseUrl;
        this.probePath = probePath;
        this.listener = listener;
    }

    void start(Run run) {
        Exchange exchange = new Exchange(run);
        exchanges.put(run.id(), exchange);
        exchange.send();
    }

    void abort(long runId) {
        Exchange exchange = exchanges.remove(runId);
        if (exchange != null) {
            exchange.request.abort(new InterruptedException("the run was aborted"));
        }
    }

    void setPaused(long runId, boolean paused) {
        Exchange exchange = exchanges.get(runId);
        if (exchange != null) {
            exchange.setPaused(paused);
        }
    }

    /** Requests the backend server's health path; any status below 500 counts as healthy. */
    void probe(Consumer<Boolean> onResult) {
        requestHealth(result ->
                onResult.accept(result.isSucceeded() && result.getResponse().getStatus() < MIN_SERVER_ERROR_STATUS));
    }

    private void requestHealth(Response.CompleteListener onResult) {
        client.newRequest(baseUrl + probePath)
                .timeout(PROBE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .send(onResult);
    }

    /** One HTTP exchange with the backend server. */
    private final class Exchange implements Response.AsyncContentListener {
        private final Run run;
        private final boolean modelCall;
        private final Request request;
        private final CompletionStreamParser stream = new CompletionStreamParser();
        /** Requests more content. Kept while paused, so that TCP flow control slows the engine down. */
        private final AtomicReference<Runnable> deferredDemand = new AtomicReference<>();

        private volatile boolean paused;
        private volatile boolean passThrough;

        Exchange(Run run) {
            this.run = run;
            this.modelCall = run.submit().work().call() instanceof BackendCall.ModelCall;
            this.passThrough = !modelCall;
            this.request = buildRequest(run)
                    .idleTimeout(IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                    .onResponseHeaders(this::onHeaders)
                    .onResponseContentAsync(this);
        }

        void send() {
            request.send(this::onComplete);
        }

        void setPaused(boolean pauseRequested) {
            paused = pauseRequested;
            if (!pauseRequested) {
                Runnable demand = deferredDemand.getAndSet(null);
                if (demand != null) {
                    demand.run();
                }
            }
        }

        private void onHeaders(Response response) {
            if (modelCall
                    && response.getStatus() >= MIN_ERROR_STATUS
                    && response.getStatus() < MIN_SERVER_ERROR_STATUS) {
                passThrough = true;
            }
            if (passThrough) {
                String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
                listener.onHead(run.id(), response.getStatus(), type == null ? "application/octet-stream" : type);
            }
        }

        @Override
        public void onContent(Response response, Content.Chunk chunk, Runnable demand) {
            ByteBuffer buffer = chunk.getByteBuffer();
            byte[] data = new byte[buffer.remaining()];
            buffer.get(data);
            if (passThrough) {
                if (data.length > 0) {
                    listener.onOutput(run.id(), data.length, data);
                }
            } else if (response.getStatus() < MIN_ERROR_STATUS) {
                stream.feed(data);
                stream.takeSoftwareVersion().ifPresent(version -> listener.onSoftwareVersion(run.id(), version));
                CompletionStreamParser.Output output = stream.takeOutput();
                if (output.tokens() > 0) {
                    listener.onOutput(run.id(), output.tokens(), output.text());
                }
            }
            if (paused) {
                deferredDemand.set(demand);
                if (!paused) {
                    setPaused(false);
                }
            } else {
                demand.run();
            }
        }

        private void onComplete(Result result) {
            exchanges.remove(run.id());
            if (result.isFailed()) {
                Throwable cause = result.getFailure();
                boolean reachedBackend = !(cause instanceof ConnectException);
                ResultCode code = reachedBackend ? ResultCode.ENGINE_FAILED : ResultCode.SERVICE_ERROR;
                listener.onFailed(run.id(), reachedBackend, code, "the backend server failed: " + cause);
            } else if (passThrough && endsWithConnection(result)) {
                requestHealth(this::onHealthAfterEnd);
            } else if (passThrough) {
                listener.onFinished(run.id(), COMPLETE);
            } else if (result.getResponse().getStatus() >= MIN_ERROR_STATUS) {
                String detail =
                        "the backend server answered " + result.getResponse().getStatus();
                listener.onFailed(run.id(), true, ResultCode.ENGINE_FAILED, detail);
            } else if (stream.isComplete()) {
                listener.onFinished(run.id(), stream.finishReason());
            } else {
                // The response ended without the stream's end marker, as when an engine process dies behind its
                // HTTP front end: the answer is truncated.
                listener.onFailed(run.id(), true, ResultCode.ANSWER_CUT, "the answer ended without its end marker");
            }
        }

        private void onHealthAfterEnd(Result health) {
            if (health.isFailed()) {
                String detail = "the answer ended with its connection, and the backend server does not answer any more";
                listener.onFailed(run.id(), true, ResultCode.ANSWER_CUT, detail);
            } else {
                listener.onFinished(run.id(), COMPLETE);
            }
        }
    }

    /** Returns whether nothing but the end of its connection marks the end of an answer. */
    private static boolean endsWithConnection(Result result) {
        Response response = result.getResponse();
        return !HttpMethod.HEAD.is(result.getRequest().getMethod())
                && !HttpStatus.hasNoBody(response.getStatus())
                && !response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
                && !response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
    }

    private Request buildRequest(Run run) {
        return switch (run.submit().work().call()) {
            case BackendCall.ModelCall call ->
                client.POST(baseUrl + "/v1/chat/completions")
                        .body(new BytesRequestContent("application/json", CompletionRequest.body(run.submit(), call)));
            case BackendCall.ServiceCall call -> {
                Request request = client.newRequest(baseUrl + call.path()).method(call.method());
                yield call.body().length == 0
                        ? request
                        : request.body(new BytesRequestContent(call.contentType(), call.body()));
            }
        };
    }
}
