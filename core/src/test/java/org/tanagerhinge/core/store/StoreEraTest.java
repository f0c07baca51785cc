package org.tanagerhinge.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which era is believed when peers and the store state different ones. */
class StoreEraTest {
    private static final String STORE = "the store";
    private static final String PEER = "peer a";

    private long nowMillis = 1_000;
    private final StoreEra era = StoreEra.create(() -> nowMillis);

    /** Guards against nodes that drop all answers of the store because a peer stated an era that never was. */
    @Test
    void eraThatTheStoreKeepsDenyingIsGivenUp() {
        era.observe(2, STORE);
        era.observeFromPeer(9, PEER);
        assertFalse(era.observe(2, STORE));
        nowMillis += StoreEra.REFUTATION_MILLIS;
        assertTrue(era.observe(2, STORE));
        assertEquals(2, era.current());
    }

    /** Guards against a peer that makes the others drop answers again with each report. */
    @Test
    void peersAreNotBelievedAgainBeforeTheStoreStatesANewerEra() {
        eraThatTheStoreKeepsDenyingIsGivenUp();
        era.observeFromPeer(9, PEER);
        era.observeFromPeer(10, PEER);
        assertTrue(era.observe(2, STORE));
        era.observe(3, STORE);
        era.observeFromPeer(4, PEER);
        assertEquals(4, era.current());
    }

    /** Guards against answers of before a restore, which arrive late, that make a node trust the earlier era. */
    @Test
    void lateAnswersDoNotRefuteANewEra() {
        era.observe(2, STORE);
        era.observeFromPeer(3, PEER);
        assertFalse(era.observe(2, STORE));
        nowMillis += StoreEra.REFUTATION_MILLIS - 1;
        assertFalse(era.observe(2, STORE));
        assertEquals(3, era.current());
    }

    /** Guards against a real restore that is given up since the store confirmed it between two late answers. */
    @Test
    void eraThatTheStoreConfirmedIsKept() {
        era.observe(2, STORE);
        era.observeFromPeer(3, PEER);
        assertFalse(era.observe(2, STORE));
        assertTrue(era.observe(3, STORE));
        nowMillis += StoreEra.REFUTATION_MILLIS;
        assertFalse(era.observe(2, STORE));
        nowMillis += StoreEra.REFUTATION_MILLIS;
        assertFalse(era.observe(2, STORE));
        assertEquals(3, era.current());
    }

    /** Guards against a refuted era that is believed again at the next real restore, when windows are most at risk. */
    @Test
    void refutedEraStaysRefutedAfterARestore() {
        eraThatTheStoreKeepsDenyingIsGivenUp();
        era.observe(3, STORE);
        era.observeFromPeer(9, PEER);
        assertEquals(3, era.current());
        era.observe(9, STORE);
        era.observeFromPeer(10, PEER);
        assertEquals(10, era.current());
    }

    /**
     * Guards against a node cut off from the store that doesn't believe its peers' true era, since one stated a wrong
     * one.
     */
    @Test
    void trueEraOfPeersIsBelievedAfterAWrongOne() {
        eraThatTheStoreKeepsDenyingIsGivenUp();
        era.observeFromPeer(3, PEER);
        assertEquals(3, era.current());
    }
}
