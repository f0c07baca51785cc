package org.tanagerhinge.standin.load;

import java.time.Duration;

/**
 * What came back for one call.
 *
 * @param code numbered result code; 0 if none was told
 * @param tokens tokens of a whole answer
 */
record Reply(ClientOutcome ending, int code, Duration untilFirst, Duration untilWhole, long tokens) {}
