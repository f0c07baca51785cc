package org.tanagerhinge.core.relay;

/**
 * Lists the mechanisms of the relay that experiments can disable one by one; all are enabled unless settings say no.
 */
public enum Mechanism {
    /** Short and long prompts use separate engines ({@link LaneSizing}). */
    LANES,
    /** Requests of a lane without a free slot may use the other lane. */
    LANE_OVERFLOW,
    /** Engines prefill the prompts of one rank in the order of {@link PrefillOrder}. */
    READING_ORDER,
    /** Less urgent requests yield where more urgent ones are overdue ({@link RankGate}). */
    RANK_GATE,
    /** The cached prefixes of engines are tracked ({@link PrefixCacheTracker}). */
    PREFIX_MEMORY,
    /** Parts that no engine is known to have cached go to engines on which all nodes agree ({@link PrefixAffinity}). */
    PREFIX_HOMES,
    /** Requests go only to engines that have their shared parts cached, or to the preferred engines of these parts. */
    HOLDERS_ONLY,
    /** In a shortage, more urgent short prompts get the engines that they need before long prompts do. */
    URGENT_LANE,
    /** Requests of the least urgent rank that can't start in time are rejected ({@link AdmissionControl}). */
    ADMISSION,
    /** In a shortage, a workspace over its fair share has the excess rejected ({@link WorkspaceShares}). */
    WORKSPACE_SHARES,
    /** Prefixes cached by another engine are fetched from it instead of being prefilled again. */
    FETCH,
    /** Load and demand reported by other nodes are taken into account. */
    PEER_LOAD,
    /** Failing servers are ejected for a while ({@link ServerHealth}), and so are silent servers with open streams. */
    EJECTION,
    /** An ejected server gets a single probe request before it gets regular work again. */
    PROBING,
    /** Requests are retried after an attempt that may have run, within the retry budget. */
    RETRIES,
    /** Interrupted streams that are resumable continue on another server. */
    RESUME
}
