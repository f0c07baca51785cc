/** The operators' command-line client. */
package org.tanagerhinge.cli;
