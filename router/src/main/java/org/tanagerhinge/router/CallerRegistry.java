package org.tanagerhinge.router;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagerhinge.core.id.RequestId;
import org.tanagerhinge.core.result.TanagerhingeException;

/** The callers of requests in progress: their answers, and the connections that are watched for a hang-up. */
final class CallerRegistry implements AutoCloseable {
    private final HangupWatcher hangups;
    private final Map<RequestId, CallerSession> sessions = new ConcurrentHashMap<>();
    /** Requests whose answers are not written to the end; a planned stop waits for them too. */
    private final Set<RequestId> unwrittenResponses = ConcurrentHashMap.newKeySet();

    private final Map<RequestId, SocketChannel> watchedChannels = new ConcurrentHashMap<>();

    private CallerRegistry(HangupWatcher hangups) {
        this.hangups = hangups;
    }

    static CallerRegistry start() throws TanagerhingeException {
        try {
            return new CallerRegistry(HangupWatcher.start());
        } catch (IOException e) {
            throw new TanagerhingeException("no selector for watching callers", e);
        }
    }

    /** Watches a caller's connection until its request is finished. */
    void watch(RequestId id, SocketChannel channel, Runnable onHangup) {
        watchedChannels.put(id, channel);
        hangups.watch(channel, onHangup);
    }

    void register(RequestId id, CallerSession session) {
        sessions.put(id, session);
        unwrittenResponses.add(id);
    }

    Optional<CallerSession> session(RequestId id) {
        return Optional.ofNullable(sessions.get(id));
    }

    /** Takes a request out whose answer is decided; it may still have to be written. */
    Optional<CallerSession> remove(RequestId id) {
        SocketChannel channel = watchedChannels.remove(id);
        if (channel != null) {
            hangups.unwatch(channel);
        }
        return Optional.ofNullable(sessions.remove(id));
    }

    /** Notes that a request's answer is written to the end. */
    void responseWritten(RequestId id) {
        unwrittenResponses.remove(id);
    }

    /** Returns the number of requests whose answers are not written to the end. */
    int unwrittenResponses() {
        return unwrittenResponses.size();
    }

    @Override
    public void close() {
        hangups.close();
    }
}
