/**
 * Decisions of the opaque relay: which route a request takes, which backend server gets it, whether it may be sent once
 * more, when it is refused. No I/O; the time is passed in.
 */
package org.tanagerhinge.core.relay;
