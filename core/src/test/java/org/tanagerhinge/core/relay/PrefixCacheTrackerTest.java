package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a tracker that fills the heap, since callers choose number, size and ids of the parts of prompts. */
class PrefixCacheTrackerTest {
    private static final long CAPACITY_TOKENS = 1_239_967;
    private static final int PROMPTS = 4_000;
    private static final PromptPart SYSTEM = new PromptPart("system", 350);

    private final PrefixCacheTracker tracker = PrefixCacheTracker.create();
    private int nextId;

    private List<PromptPart> parts(int count, int tokens, int idLength) {
        List<PromptPart> parts = new ArrayList<>(List.of(SYSTEM));
        for (int i = 0; i < count; i++) {
            parts.add(new PromptPart(Integer.toString(nextId++) + "x".repeat(idLength), tokens));
        }
        return parts;
    }

    @ParameterizedTest
    @CsvSource({"1, 8, 0", "13, 8, 0", "13, 0, 0", "750, 1, 0", "750, 8, 0", "13, 8, 10000"})
    void entriesOfAllEnginesAreBounded(int engines, int tokens, int idLength) {
        for (int i = 0; i < PROMPTS; i++) {
            int count = idLength > 0 ? 1 : 127;
            tracker.recordSent("engine-" + i % engines, parts(count, tokens, idLength), CAPACITY_TOKENS, i);
            assertTrue(tracker.entries() <= PrefixCacheTracker.MAX_ENTRIES, () -> tracker.entries() + " entries");
        }
    }

    @Test
    void partThatIsUsedStaysCachedBesideManyOthers() {
        Prompt prompt = Prompt.of(600, 10, List.of(SYSTEM, new PromptPart("own", 250)));
        for (int i = 0; i < PROMPTS; i++) {
            tracker.recordSent("engine-" + i % 13, parts(127, 8, 0), CAPACITY_TOKENS, i);
        }
        for (int i = 0; i < 13; i++) {
            assertEquals(SYSTEM.tokens(), tracker.cachedTokens("engine-" + i, prompt));
        }
    }

    @Test
    void partsWithoutTokensDoNotEndAPrefix() {
        Prompt prompt = Prompt.of(600, 10, List.of(SYSTEM, new PromptPart("none", 0), new PromptPart("own", 250)));
        tracker.recordSent("engine", prompt.parts(), CAPACITY_TOKENS, 0);
        assertEquals(600, tracker.cachedTokens("engine", prompt));
        assertEquals(2, tracker.entries());
    }

    @Test
    void entriesOfARemovedEngineAreFreed() {
        tracker.recordSent("engine", parts(100, 8, 0), CAPACITY_TOKENS, 0);
        tracker.forget("engine");
        tracker.forget("engine");
        assertEquals(0, tracker.entries());
    }
}
