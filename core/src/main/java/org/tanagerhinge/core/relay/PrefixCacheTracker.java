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
 * <p>Callers choose the number of parts, so the entries of all engines together are bounded as well: beyond {@value
 * #MAX_ENTRIES}, no engine keeps more than an equal share. Long ids count as several entries. Parts without tokens are
 * not kept, since prefilling them costs nothing.
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
    /** Largest number of entries of all engines together; they take about a tenth of a gateway's heap. */
    static final int MAX_ENTRIES = 65_536;
    /** Length of an id that counts as one more entry. */
    private static final int ID_CHARS_PER_ENTRY = 64;

    private final Map<String, ServerCache> cacheByInstanceId = new HashMap<>();
    private int entries;

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
            if (part.tokens() <= 0) {
                continue;
            }
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
            if (part.tokens() > 0) {
                cache.put(part, nowMillis);
            }
        }
        cache.evictBeyond((long) (CACHE_MEMORY_SHARE * capacityTokens), MAX_ENTRIES);
        if (entries > MAX_ENTRIES) {
            int share = MAX_ENTRIES / cacheByInstanceId.size();
            cacheByInstanceId.values().forEach(each -> each.evictBeyond(Long.MAX_VALUE, share));
        }
    }

    /** Returns the number of entries of all engines together. */
    public int entries() {
        return entries;
    }

    /** Discards the cache estimate of a server that was removed. */
    public void forget(String instanceId) {
        ServerCache removed = cacheByInstanceId.remove(instanceId);
        if (removed != null) {
            entries -= removed.entries;
        }
    }

    private record CachedPart(int tokens, long sentAtMillis) {}

    private static int entriesOf(String partId) {
        return 1 + partId.length() / ID_CHARS_PER_ENTRY;
    }

    private final class ServerCache {
        private final LinkedHashMap<String, CachedPart> parts = new LinkedHashMap<>();
        private long tokens;
        private int entries;

        private void put(PromptPart part, long nowMillis) {
            CachedPart previous = parts.remove(part.id());
            if (previous == null) {
                addEntries(entriesOf(part.id()));
            } else {
                tokens -= previous.tokens();
            }
            tokens += part.tokens();
            parts.put(part.id(), new CachedPart(part.tokens(), previous == null ? nowMillis : previous.sentAtMillis()));
        }

        /** Removes the least recently used parts until neither limit is exceeded. */
        private void evictBeyond(long maxTokens, int maxEntries) {
            Iterator<Map.Entry<String, CachedPart>> leastRecentlyUsed =
                    parts.entrySet().iterator();
            while ((tokens > maxTokens || entries > maxEntries) && leastRecentlyUsed.hasNext()) {
                Map.Entry<String, CachedPart> evicted = leastRecentlyUsed.next();
                tokens -= evicted.getValue().tokens();
                addEntries(-entriesOf(evicted.getKey()));
                leastRecentlyUsed.remove();
            }
        }

        private void addEntries(int change) {
            entries += change;
            PrefixCacheTracker.this.entries += change;
        }
    }
}
