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
 */
public final class PrefixMemory {
    /** Share of an engine's memory that is taken to hold parts; the rest holds the requests that run. */
    private static final double SHARE = 0.8;

    private final Map<String, Held> byServer = new HashMap<>();

    private PrefixMemory() {}

    /** Returns a memory that holds nothing. */
    public static PrefixMemory create() {
        return new PrefixMemory();
    }

    /** Returns how many tokens at the start of a prompt a server should hold. */
    public int held(String server, Prompt prompt) {
        Held held = byServer.get(server);
        if (held == null) {
            return 0;
        }
        int tokens = 0;
        for (PromptPart part : prompt.parts()) {
            if (!held.parts.containsKey(part.id())) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Notes that a server was given a prompt's parts to read. */
    public void keep(String server, List<PromptPart> parts, long memoryTokens) {
        Held held = byServer.computeIfAbsent(server, id -> new Held());
        for (PromptPart part : parts) {
            Integer old = held.parts.remove(part.id());
            held.tokens += part.tokens() - (old == null ? 0 : old);
            held.parts.put(part.id(), part.tokens());
        }
        Iterator<Map.Entry<String, Integer>> oldest = held.parts.entrySet().iterator();
        while (held.tokens > SHARE * memoryTokens && oldest.hasNext()) {
            held.tokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    /** Forgets a server that has ended. */
    public void forget(String server) {
        byServer.remove(server);
    }

    private static final class Held {
        private final LinkedHashMap<String, Integer> parts = new LinkedHashMap<>();
        private long tokens;
    }
}
