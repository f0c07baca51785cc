package org.tanagerhinge.node.log;

/** Which lines about single requests are written. */
public enum RequestLines {
    /** All events of requests. */
    ALL,
    /** Only failures and the ends of failed requests. */
    FAILED,
    /** No lines about single requests. */
    NONE
}
