package org.tanagerhinge.standin.load;

import java.time.Duration;

/**
 * The response to one call, as classified by the caller.
 *
 * @param code numbered result code; 0 if none was reported
 * @param tokens number of tokens of a complete answer
 */
record Reply(ClientOutcome ending, int code, Duration untilFirst, Duration untilWhole, long tokens) {}
