/** The way from a request's id to its cause, by what the processes' logs tell. */
package org.tanagerhinge.cli.trace;
