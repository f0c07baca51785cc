package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which parts of prompts each model engine should still hold, from what this node and its peers sent there.
 *
 * <p>An estimate: engines drop the least recently used parts when their memory is needed, so this keeps the most recently
 * used parts of each engine up to a share of its memory. A part counts only if all parts before it are held too.
 *
 * <p>A part is held for placing as soon as it was sent: who needs it goes where it is being read. It is there for another
 * engine to fetch only once it has been read, so that takes some time more.
 */
public final class PrefixCacheTracker {
    /** Share of an engine's memory that is taken to hold parts; the rest holds the requests that run. */
    private static final double SHARE = 0.8;
    /**
     * Time after which a part that was sent has been read, in milliseconds: longer than most prompts wait. An engine that
     * fetches a part that isn't there yet reads it all the same.
     */
    private static final long READ_MILLIS = 1_000;

    private final Map<String, ServerCache> byServer = new HashMap<>();

    private PrefixCacheTracker() {}

    /** Returns a memory that holds nothing. */
    public static PrefixCacheTracker create() {
        return new PrefixCacheTracker();
    }

    /** Returns how many tokens at the start of a prompt a server should hold. */
    public int held(String server, Prompt prompt) {
        return held(server, prompt, Long.MAX_VALUE);
    }

    /** Returns how many tokens at the start of a prompt a server should have read by a time, in milliseconds. */
    public int read(String server, Prompt prompt, long now) {
        return held(server, prompt, now - READ_MILLIS);
    }

    private int held(String server, Prompt prompt, long sentUntil) {
        ServerCache held = byServer.get(server);
        if (held == null) {
            return 0;
        }
        int tokens = 0;
        for (PromptPart part : prompt.parts()) {
            CachedPart kept = held.parts.get(part.id());
            if (kept == null || kept.since() > sentUntil) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Notes that a server was given a prompt's parts to read, at a time in milliseconds. */
    public void keep(String server, List<PromptPart> parts, long memoryTokens, long now) {
        ServerCache held = byServer.computeIfAbsent(server, id -> new ServerCache());
        for (PromptPart part : parts) {
            CachedPart old = held.parts.remove(part.id());
            held.tokens += part.tokens() - (old == null ? 0 : old.tokens());
            held.parts.put(part.id(), new CachedPart(part.tokens(), old == null ? now : old.since()));
        }
        Iterator<Map.Entry<String, CachedPart>> oldest = held.parts.entrySet().iterator();
        while (held.tokens > SHARE * memoryTokens && oldest.hasNext()) {
            held.tokens -= oldest.next().getValue().tokens();
            oldest.remove();
        }
    }

    /** Forgets a server that has ended. */
    public void forget(String server) {
        byServer.remove(server);
    }

    /** A part's size, and since when it is held. */
    private record CachedPart(int tokens, long since) {}

    private static final class ServerCache {
        private final LinkedHashMap<String, CachedPart> parts = new LinkedHashMap<>();
        private long tokens;
    }
}
