package org.tanagerhinge.core.router;

/** Lists the events that change the state of a backend server. */
enum ServerEvent {
    LINK,
    UNLINK,
    EJECT,
    RETURN
}
