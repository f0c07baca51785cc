package org.tanagerhinge.core.relay;

import java.util.List;

/**
 * What a request tells of its prompt.
 *
 * @param inputTokens size of the whole prompt, 0 if not told
 * @param outputTokens most tokens that may be generated, 0 if not told
 * @param parts in order; the last belongs to the request itself or its session
 */
public record Prompt(int inputTokens, int maxOutputTokens, List<PromptPart> parts) {
    /** The prompt of a request that tells nothing. */
    public static final Prompt NONE = new Prompt(0, 0, List.of());

    /** Returns the parts that other requests may share: all but the last one. */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Returns the tokens of the parts that other requests may share. */
    public int sharedTokens() {
        int tokens = 0;
        for (PromptPart part : sharedParts()) {
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Returns a prompt; negative sizes are taken as not told. */
    public static Prompt of(int inputTokens, int maxOutputTokens, List<PromptPart> parts) {
        return new Prompt(Math.max(0, inputTokens), Math.max(0, maxOutputTokens), List.copyOf(parts));
    }
}
