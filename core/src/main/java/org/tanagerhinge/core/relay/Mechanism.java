package org.tanagerhinge.core.relay;

/** The mechanisms of the relay that an experiment can switch off, to see what each is worth; all are on otherwise. */
public enum Mechanism {
    /** Short and long prompts go to engines of their own ({@link LaneSizing}). */
    LANES,
    /** Requests of a lane without a free place go to the other one too. */
    LANE_OVERFLOW,
    /** Engines read prompts of one rank in the order of {@link PrefillOrder}. */
    READING_ORDER,
    /** Less urgent requests yield where more urgent ones are overdue ({@link RankGate}). */
    RANK_GATE,
    /** What engines hold of prompts is remembered ({@link PrefixCacheTracker}). */
    PREFIX_MEMORY,
    /** Parts of prompts that no engine is known to hold go to engines that all nodes agree on ({@link PrefixAffinity}). */
    PREFIX_HOMES,
    /** Requests go only to engines that should hold their shared parts and to the homes of these. */
    HOLDERS_ONLY,
    /** Short prompts of a more urgent rank get the engines that they need before long ones. */
    URGENT_LANE,
    /** Requests of the last rank that can't be in time are turned away ({@link AdmissionControl}). */
    ADMISSION,
    /** What another engine holds of a prompt is fetched from it and not read again. */
    FETCH,
    /** Load and demand that the other nodes tell of count. */
    PEER_LOAD,
    /** ServerSnapshot that fail are left out for a while ({@link ServerHealth}), and those that owe events and say nothing. */
    EJECTION,
    /** An ejected server gets a single request before it gets ordinary work again. */
    PROBING,
    /** Requests are sent again after an attempt that may have run, within the budget. */
    RETRIES,
    /** Streams that can be resumed go on at another server. */
    RESUME
}
