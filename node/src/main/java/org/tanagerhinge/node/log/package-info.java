/** Structured logging as JSON lines. */
package org.tanagerhinge.node.log;
