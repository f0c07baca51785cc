package org.tanagerhinge.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests positions in the store's history and the tracking of its era. */
class StorePositionTest {
    @ParameterizedTest
    @CsvSource({"0, 1", "1, 1", "3, 1099511627775"})
    void fencingTokenStandsForThePosition(long era, long revision) {
        StorePosition position = StorePosition.of(era, revision);
        assertEquals(position, StorePosition.ofFencingToken(position.toFencingToken()));
    }

    /** Guards against tokens that the platform refuses because the store's revisions went back. */
    @Test
    void fencingTokenRisesAcrossARestore() {
        assertTrue(StorePosition.of(2, 400).toFencingToken()
                > StorePosition.of(1, 500).toFencingToken());
        assertTrue(StorePosition.of(2, 401).toFencingToken()
                > StorePosition.of(2, 400).toFencingToken());
    }

    @Test
    void eraAfterTheFirstKnownOneIsARestore() {
        StoreEra era = StoreEra.create();
        List<String> restores = new ArrayList<>();
        era.onRestored((number, source) -> restores.add(number + " by " + source));
        assertTrue(era.observe(4, "the store"));
        assertTrue(era.observe(4, "the store"));
        era.observeFromPeer(6, "peer a");
        assertFalse(era.observe(5, "the store"), "outdated");
        assertEquals(List.of("6 by peer a"), restores);
        assertEquals(6, era.current());
    }
}
