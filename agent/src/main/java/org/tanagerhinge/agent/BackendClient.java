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
import org.eclipse.jetty.io.Content;
import org.tanagerhinge.core.agent.Run;
import org.tanagerhinge.core.message.BackendCall;
import org.tanagerhinge.core.result.ResultCode;

/** Calls the backend server over HTTP and hands on what it produces piece by piece. */
final class BackendClient {
    private static final Duration IDLE = Duration.ofMinutes(10);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
    private static final int FIRST_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;

    private final HttpClient client;
    private final String baseUrl;
    private final String probePath;
    private final BackendEvents events;
    private final Map<Long, Exchange> exchanges = new ConcurrentHashMap<>();

    BackendClient(HttpClient client, String baseUrl, String probePath, BackendEvents events) {
        this.client = client;
        this.baseUrl = baseUrl;
        this.probePath = probePath;
        this.events = events;
    }

    void start(Run run) {
        Exchange exchange = new Exchange(run);
        exchanges.put(run.id(), exchange);
        exchange.send();
    }

    void abort(long runId) {
        Exchange exchange = exchanges.remove(runId);
        if (exchange != null) {
            exchange.request.abort(new InterruptedException("nobody waits for it"));
        }
    }

    void pause(long runId, boolean paused) {
        Exchange exchange = exchanges.get(runId);
        if (exchange != null) {
            exchange.pause(paused);
        }
    }

    /** Asks the backend server's health page; any answer below 500 is a sign of life. */
    void probe(Consumer<Boolean> answered) {
        client.newRequest(baseUrl + probePath)
                .timeout(PROBE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .send(result -> answered.accept(
                        result.isSucceeded() && result.getResponse().getStatus() < FIRST_SERVER_ERROR));
    }

    /** One call and what came back of it. */
    private final class Exchange implements Response.AsyncContentListener {
        private final Run run;
        private final boolean model;
        private final Request request;
        private final CompletionStream stream = new CompletionStream();
        /** What goes on reading once a pause ends; held back while paused, so that the engine is slowed down. */
        private final AtomicReference<Runnable> heldBack = new AtomicReference<>();

        private volatile boolean paused;
        private volatile boolean passThrough;

        Exchange(Run run) {
            this.run = run;
            this.model = run.submit().work().call() instanceof BackendCall.ModelCall;
            this.passThrough = !model;
            this.request = build(run)
                    .idleTimeout(IDLE.toMillis(), TimeUnit.MILLISECONDS)
                    .onResponseHeaders(this::onHeaders)
                    .onResponseContentAsync(this);
        }

        void send() {
            request.send(this::onComplete);
        }

        void pause(boolean next) {
            paused = next;
            if (!next) {
                Runnable demand = heldBack.getAndSet(null);
                if (demand != null) {
                    demand.run();
                }
            }
        }

        private void onHeaders(Response response) {
            if (model && response.getStatus() >= FIRST_ERROR && response.getStatus() < FIRST_SERVER_ERROR) {
                passThrough = true;
            }
            if (passThrough) {
                String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
                events.head(run.id(), response.getStatus(), type == null ? "application/octet-stream" : type);
            }
        }

        @Override
        public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
            ByteBuffer buffer = chunk.getByteBuffer();
            byte[] data = new byte[buffer.remaining()];
            buffer.get(data);
            if (passThrough) {
                if (data.length > 0) {
                    events.output(run.id(), data.length, data);
                }
            } else if (response.getStatus() < FIRST_ERROR) {
                stream.feed(data);
                CompletionStream.Piece piece = stream.take();
                if (piece.tokens() > 0) {
                    events.output(run.id(), piece.tokens(), piece.text());
                }
            }
            if (paused) {
                heldBack.set(demander);
                if (!paused) {
                    pause(false);
                }
            } else {
                demander.run();
            }
        }

        private void onComplete(Result result) {
            exchanges.remove(run.id());
            if (result.isFailed()) {
                Throwable cause = result.getFailure();
                boolean began = !(cause instanceof ConnectException);
                ResultCode code = began ? ResultCode.ENGINE_FAILED : ResultCode.SERVICE_ERROR;
                events.failed(run.id(), began, code, "the backend server failed: " + cause);
            } else if (passThrough) {
                events.finished(run.id(), "complete");
            } else if (result.getResponse().getStatus() >= FIRST_ERROR) {
                String detail =
                        "the backend server answered " + result.getResponse().getStatus();
                events.failed(run.id(), true, ResultCode.ENGINE_FAILED, detail);
            } else if (stream.whole()) {
                events.finished(run.id(), stream.finishReason());
            } else {
                // The connection ended in good order but the stream's end marker never came: an engine that died
                // behind its own HTTP front looks just like this.
                events.failed(run.id(), true, ResultCode.ANSWER_CUT, "the answer ended without its end marker");
            }
        }
    }

    private Request build(Run run) {
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
