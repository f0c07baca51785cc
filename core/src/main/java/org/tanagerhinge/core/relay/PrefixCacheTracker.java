package org.tanagerhinge.core.relay;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts each model engine has cached, from the prompts that this node and its peers sent
 * there.
 *
 * <p>Engines evict the least recently used parts when they need memory, so the tracker keeps the most recently used
 * parts of each engine up to a share of its capacity. A part counts only if all parts before it are cached too.
 *
 * <p>For placement a part counts as cached as soon as it is sent, so that prompts with the same part go to the engine
 * that prefills it. Other engines can fetch it only after its prefill, which is assumed to take one second.
 */
public final class PrefixCacheTracker {
    /** Share of an engine's memory assumed to hold cached parts; the rest is for running requests. */
    private static final double CACHE_MEMORY_SHARE = 0.8;
    /**
     * Time in milliseconds after which a part that was sent counts as prefilled: longer than most prompts wait. If it
     * isn't prefilled by then, the engine that tries to fetch it prefills the prompt itself.
     */
    private static final long PREFILL_MILLIS = 1_000;

    private final Map<String, ServerCache> cacheByInstanceId = new HashMap<>();

    private PrefixCacheTracker() {}

    /** Creates a tracker without cached parts. */
    public static PrefixCacheTracker create() {
        return new PrefixCacheTracker();
    }

    /** Returns how many tokens at the start of a prompt a server is expected to have cached. */
    public int cachedTokens(String instanceId, Prompt prompt) {
        return cachedTokens(instanceId, prompt, Long.MAX_VALUE);
    }

    /** Returns how many tokens at the start of a prompt a server has prefilled by a time in milliseconds. */
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

    /** Records that parts of a prompt were sent to a server, at a time in milliseconds. */
    public void recordSent(String instanceId, List<PromptPart> parts, long capacityTokens, long nowMillis) {
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

    /** Discards the cache estimate of a server that was removed. */
    public void forget(String instanceId) {
        cacheByInstanceId.remove(instanceId);
    }

    private record CachedPart(int tokens, long sentAtMillis) {}

    private static final class ServerCache {
        private final LinkedHashMap<String, CachedPart> parts = new LinkedHashMap<>();
        private long tokens;
    }
}
