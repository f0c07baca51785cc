package org.tanagerhinge.router;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.result.RequestFailure;
import org.tanagerhinge.core.result.ResultCode;

/**
 * Writes one answer to its caller, on traffic threads, in the order in which the control thread gave it.
 *
 * <p>What a caller has not read yet waits here; the units written are reported, and agents are given credit for just
 * those, so what waits is bounded by an agent's credit window.
 */
final class CallerSession extends IteratingCallback {
    private static final String REQUEST_HEADER = "X-Tanagerhinge-Request";

    /** Told of what becomes of the writing. */
    interface Progress {
        void took(RequestId request, long units);

        void gone(RequestId request);

        /** Nothing more will be written. */
        void ended(RequestId request);
    }

    private sealed interface Event {
        record Head(int status, String contentType) implements Event {}

        record Piece(long units, byte[] data) implements Event {}

        record Complete(String finishReason, long units) implements Event {}

        record Refused(RequestFailure refusal) implements Event {}

        /** The caller hung up; what is left is to let go of its connection. */
        record Abandoned() implements Event {}
    }

    private final RequestId request;
    private final Response response;
    private final Callback callback;
    private final Executor traffic;
    private final Progress progress;
    private final Queue<Event> events = new ConcurrentLinkedQueue<>();
    private AnswerFormat format;
    private boolean committed;
    private boolean last;
    private boolean cut;
    private long writingUnits;

    CallerSession(
            RequestId request,
            Response response,
            Callback callback,
            AnswerFormat format,
            Executor traffic,
            Progress progress) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.format = format;
        this.traffic = traffic;
        this.progress = progress;
    }

    void head(int status, String contentType) {
        add(new Event.Head(status, contentType));
    }

    void piece(long units, byte[] data) {
        add(new Event.Piece(units, data));
    }

    void complete(String finishReason, long units) {
        add(new Event.Complete(finishReason, units));
    }

    void refuse(RequestFailure refusal) {
        add(new Event.Refused(refusal));
    }

    /** Ends a session whose caller is gone; without this the server would keep the exchange for ever. */
    void abandon() {
        add(new Event.Abandoned());
    }

    private void add(Event event) {
        events.add(event);
        traffic.execute(this::iterate);
    }

    @Override
    protected Action process() {
        if (last) {
            return Action.SUCCEEDED;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writingUnits = 0;
        boolean any = false;
        while (!last && !events.isEmpty()) {
            any = true;
            take(events.poll(), out);
        }
        if (!any) {
            return Action.IDLE;
        }
        if (out.size() == 0 && !last) {
            succeeded();
            return Action.SCHEDULED;
        }
        if (cut && out.size() == 0) {
            return Action.SUCCEEDED;
        }
        committed = true;
        response.write(last && !cut, ByteBuffer.wrap(out.toByteArray()), this);
        return Action.SCHEDULED;
    }

    private void take(Event event, ByteArrayOutputStream out) {
        switch (event) {
            case Event.Head head -> {
                format = new AnswerFormat.PassThrough(head.contentType());
                response.setStatus(head.status());
                commonHeaders();
            }
            case Event.Piece piece -> {
                if (!committed) {
                    commonHeaders();
                }
                writingUnits += piece.units();
                out.writeBytes(format.piece(piece.data()));
            }
            case Event.Complete complete -> {
                if (!committed) {
                    commonHeaders();
                    response.getHeaders().put(ResultCode.HEADER, Integer.toString(ResultCode.OK.number()));
                }
                out.writeBytes(format.end(complete.finishReason(), complete.units()));
                last = true;
            }
            case Event.Abandoned abandoned -> {
                last = true;
                cut = true;
            }
            case Event.Refused refused -> {
                last = true;
                if (committed || out.size() > 0) {
                    cut = true;
                    out.writeBytes(format.broken(refused.refusal()));
                } else {
                    refusalHead(refused.refusal());
                    out.writeBytes(ErrorBody.of(refused.refusal()).getBytes(StandardCharsets.UTF_8));
                }
            }
        }
    }

    private void commonHeaders() {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, format.contentType());
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
        response.getHeaders().put(REQUEST_HEADER, request.value());
    }

    private void refusalHead(RequestFailure refusal) {
        response.setStatus(refusal.code().httpStatus());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(REQUEST_HEADER, request.value());
        response.getHeaders()
                .put(ResultCode.HEADER, Integer.toString(refusal.code().number()));
        if (refusal.code() == ResultCode.UNKNOWN_KEY) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
        }
        if (!refusal.retryAfter().isZero()) {
            long seconds = Math.max(1, (refusal.retryAfter().toMillis() + 999) / 1000);
            response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(seconds));
        }
    }

    @Override
    protected void onSuccess() {
        if (writingUnits > 0) {
            progress.took(request, writingUnits);
            writingUnits = 0;
        }
    }

    @Override
    protected void onCompleteSuccess() {
        progress.ended(request);
        if (cut) {
            // Ending the response in good order would pass a broken answer off as whole.
            callback.failed(new EofException("the answer was cut"));
        } else {
            callback.succeeded();
        }
    }

    @Override
    protected void onCompleteFailure(Throwable cause) {
        progress.gone(request);
        progress.ended(request);
        callback.failed(cause);
    }
}
