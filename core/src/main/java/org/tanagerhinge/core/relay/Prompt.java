package org.tanagerhinge.core.relay;

import java.util.ArrayList;
import java.util.List;
import org.tanagerhinge.core.attempt.PartId;
import org.tanagerhinge.core.attempt.PartQuarantine;

/**
 * Describes a prompt as its request states it.
 *
 * @param inputTokens size of the whole prompt, 0 if unknown
 * @param maxOutputTokens maximum number of tokens to generate, 0 if unknown
 * @param parts in order; the last one belongs to the request itself or its session
 */
public record Prompt(int inputTokens, int maxOutputTokens, List<PromptPart> parts) {
    /** Prompt of a request that doesn't describe it. */
    public static final Prompt NONE = new Prompt(0, 0, List.of());

    static final int MAX_PARTS = PartQuarantine.MAX_PARTS_PER_PROMPT;

    /** Returns the parts that other requests may share: all but the last one. */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Returns the ids of the first distinct parts that other requests may share. */
    public List<PartId> sharedPartIds() {
        List<PartId> ids = new ArrayList<>();
        for (PromptPart part : sharedParts()) {
            PartId id = PartId.of(part.id());
            if (ids.size() < PartQuarantine.MAX_PARTS_PER_PROMPT && !ids.contains(id)) {
                ids.add(id);
            }
        }
        return ids;
    }

    /** Returns the tokens of the parts that other requests may share. */
    public int sharedTokens() {
        int tokens = 0;
        for (PromptPart part : sharedParts()) {
            tokens += part.tokens();
        }
        return tokens;
    }

    /**
     * Creates a prompt; negative sizes count as unknown. Of more than {@value #MAX_PARTS} parts, those between the first
     * ones and the last one become a single part, so that what is kept of a prompt is bounded.
     */
    public static Prompt of(int inputTokens, int maxOutputTokens, List<PromptPart> parts) {
        return new Prompt(Math.max(0, inputTokens), Math.max(0, maxOutputTokens), bounded(parts));
    }

    private static List<PromptPart> bounded(List<PromptPart> parts) {
        if (parts.size() <= MAX_PARTS) {
            return List.copyOf(parts);
        }
        List<PromptPart> bounded = new ArrayList<>(parts.subList(0, MAX_PARTS - 2));
        bounded.add(joined(parts.subList(MAX_PARTS - 2, parts.size() - 1)));
        bounded.add(parts.getLast());
        return List.copyOf(bounded);
    }

    private static PromptPart joined(List<PromptPart> parts) {
        StringBuilder ids = new StringBuilder();
        long tokens = 0;
        for (PromptPart part : parts) {
            ids.append(part.id()).append(',');
            tokens += part.tokens();
        }
        return new PromptPart(PartId.ofContent(ids.toString()).value(), (int) Math.min(Integer.MAX_VALUE, tokens));
    }
}
