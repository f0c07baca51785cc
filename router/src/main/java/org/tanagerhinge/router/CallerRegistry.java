package org.tanagerhinge.router;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.result.TanagerhingeException;

/** Tracks the callers of requests in flight: their sessions, and the connections that are watched for a hang-up. */
final class CallerRegistry implements AutoCloseable {
    private final HangupWatcher hangups;
    private final Map<RequestId, CallerSession> sessions = new ConcurrentHashMap<>();
    /** Requests whose responses are not completely written; a graceful stop waits for them. */
    private final Set<RequestId> unwrittenResponses = ConcurrentHashMap.newKeySet();

    private final Map<RequestId, BodyReader> bodies = new ConcurrentHashMap<>();
    private final Map<RequestId, SocketChannel> watchedChannels = new ConcurrentHashMap<>();

    private CallerRegistry(HangupWatcher hangups) {
        this.hangups = hangups;
    }

    static CallerRegistry start() throws TanagerhingeException {
        try {
            return new CallerRegistry(HangupWatcher.start());
        } catch (IOException e) {
            throw new TanagerhingeException("cannot open a selector to watch callers' connections", e);
        }
    }

    /** Watches a caller's connection for a hang-up until its request is removed. */
    void watch(RequestId id, SocketChannel channel, Runnable onHangup) {
        watchedChannels.put(id, channel);
        hangups.watch(channel, onHangup);
    }

    void register(RequestId id, CallerSession session, BodyReader body) {
        bodies.put(id, body);
        sessions.put(id, session);
        unwrittenResponses.add(id);
    }

    Optional<CallerSession> session(RequestId id) {
        return Optional.ofNullable(sessions.get(id));
    }

    /** Removes a request whose outcome is known; its response may still be written. */
    Optional<CallerSession> remove(RequestId id) {
        SocketChannel channel = watchedChannels.remove(id);
        if (channel != null) {
            hangups.unwatch(channel);
        }
        return Optional.ofNullable(sessions.remove(id));
    }

    /** Records that a request's response is completely written. */
    void responseWritten(RequestId id) {
        unwrittenResponses.remove(id);
        BodyReader body = bodies.remove(id);
        if (body != null) {
            body.close();
        }
    }

    /** Returns the number of requests whose responses are not completely written. */
    int unwrittenResponses() {
        return unwrittenResponses.size();
    }

    @Override
    public void close() {
        hangups.close();
    }
}
