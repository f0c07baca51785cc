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
    private static final double CACHE_MEMORY_SHARE = 0.8;
    /**
     * Time after which a part that was sent has been read, in milliseconds: longer than most prompts wait. An engine that
     * fetches a part that isn't there yet reads it all the same.
     */
    private static final long PREFILL_MILLIS = 1_000;

    private final Map<String, ServerCache> cacheByInstanceId = new HashMap<>();

    private PrefixCacheTracker() {}

    /** Returns a memory that holds nothing. */
    public static PrefixCacheTracker create() {
        return new PrefixCacheTracker();
    }

    /** Returns how many tokens at the start of a prompt a server should hold. */
    public int cachedTokens(String instanceId, Prompt prompt) {
        return cachedTokens(instanceId, prompt, Long.MAX_VALUE);
    }

    /** Returns how many tokens at the start of a prompt a server should have read by a time, in milliseconds. */
    public int fetchableTokens(String instanceId, Prompt prompt, long nowMillis) {
        return cachedTokens(instanceId, prompt, nowMillis - PREFILL_MILLIS);
    }

    private int cachedTokens(String instanceId, Prompt prompt, long sentUntilMillis) {
        ServerCache cache = cacheByInstanceId.get(instanceId);
        if (cache == null) {
            return 0;
        }
        int tokens = 0;
        for (PromptPart part : prompt.parts()) {
            CachedPart cached = cache.parts.get(part.id());
            if (cached == null || cached.sentAtMillis() > sentUntilMillis) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Notes that a server was given a prompt's parts to read, at a time in milliseconds. */
    public void recordPrefill(String instanceId, List<PromptPart> parts, long capacityTokens, long nowMillis) {
        ServerCache cache = cacheByInstanceId.computeIfAbsent(instanceId, id -> new ServerCache());
        for (PromptPart part : parts) {
            CachedPart previous = cache.parts.remove(part.id());
            cache.tokens += part.tokens() - (previous == null ? 0 : previous.tokens());
            cache.parts.put(
                    part.id(), new CachedPart(part.tokens(), previous == null ? nowMillis : previous.sentAtMillis()));
        }
        Iterator<Map.Entry<String, CachedPart>> leastRecentlyUsed =
                cache.parts.entrySet().iterator();
        while (cache.tokens > CACHE_MEMORY_SHARE * capacityTokens && leastRecentlyUsed.hasNext()) {
            cache.tokens -= leastRecentlyUsed.next().getValue().tokens();
            leastRecentlyUsed.remove();
        }
    }

    /** Forgets a server that has ended. */
    public void forget(String instanceId) {
        cacheByInstanceId.remove(instanceId);
    }

    /** A part's size, and since when it is held. */
    private record CachedPart(int tokens, long sentAtMillis) {}

    private static final class ServerCache {
        private final LinkedHashMap<String, CachedPart> parts = new LinkedHashMap<>();
        private long tokens;
    }
}
