package org.tanagerhinge.node.log;

/** Which lines about single requests are written. */
public enum RequestLines {
    /** Every decision. */
    ALL,
    /** Only what went wrong, and how requests ended that did. */
    FAILED,
    /** None at all. */
    NONE
}
