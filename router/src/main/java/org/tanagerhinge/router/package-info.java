/** The router daemon, which accepts callers' requests over HTTP and dispatches them to agents. */
package org.tanagerhinge.router;
