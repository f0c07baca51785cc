package org.tanagerhinge.core.attempt;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Measures in which share of a node's latest prompts each part occurs. */
final class PartFrequency {
    private static final int MAX_PROMPTS = 512;
    /** Number of prompts below which shares are too uncertain to exceed a bound. */
    private static final int MIN_PROMPTS = 24;

    private final Deque<List<PartId>> prompts = new ArrayDeque<>();
    private final Map<PartId, Integer> counts = new HashMap<>();

    /** Records the parts of a prompt that has arrived. */
    void record(List<PartId> parts) {
        prompts.addLast(parts);
        parts.forEach(part -> counts.merge(part, 1, Integer::sum));
        if (prompts.size() > MAX_PROMPTS) {
            prompts.removeFirst().forEach(part -> counts.computeIfPresent(part, (key, n) -> n == 1 ? null : n - 1));
        }
    }

    /** Returns the share of the latest prompts in which a part occurs; of few prompts, as if there had been more. */
    double share(PartId part) {
        return counts.getOrDefault(part, 0) / (double) Math.max(MIN_PROMPTS, prompts.size());
    }
}
