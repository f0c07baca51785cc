package org.tanagerhinge.core.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against prompts that take memory in proportion to the number of parts that their callers state. */
class PromptTest {
    private static Prompt promptOf(int parts) {
        return Prompt.of(
                8 * parts,
                10,
                IntStream.range(0, parts)
                        .mapToObj(i -> new PromptPart("part-" + i, 8))
                        .toList());
    }

    @Test
    void promptsWithFewPartsKeepThemAll() {
        Prompt prompt = promptOf(Prompt.MAX_PARTS);
        assertEquals(Prompt.MAX_PARTS, prompt.parts().size());
        assertEquals("part-100", prompt.parts().get(100).id());
    }

    @Test
    void furtherPartsBeforeTheLastOneAreJoined() {
        Prompt prompt = promptOf(4_000);
        assertEquals(Prompt.MAX_PARTS, prompt.parts().size());
        assertEquals("part-0", prompt.parts().getFirst().id());
        assertEquals("part-3999", prompt.parts().getLast().id());
        assertEquals(8 * 3_999, prompt.sharedTokens());
    }

    @Test
    void joinedPartsDifferWithWhatTheyConsistOf() {
        List<PromptPart> one = promptOf(400).sharedParts();
        List<PromptPart> other = promptOf(401).sharedParts();
        assertEquals(one.getFirst(), other.getFirst());
        assertNotEquals(one.getLast().id(), other.getLast().id());
    }
}
