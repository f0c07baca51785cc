package org.tanagerhinge.core.attempt;

/** Identifies what may crash the servers on which it runs: a request that is repeated, or a part of prompts. */
public sealed interface CrashSuspect permits RequestFingerprint, PartId {}
