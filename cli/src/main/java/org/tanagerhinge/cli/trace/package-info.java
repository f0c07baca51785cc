/** Tracing of single requests through the log files of all processes. */
package org.tanagerhinge.cli.trace;
