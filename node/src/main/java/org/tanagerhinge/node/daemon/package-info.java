/** Command line, HTTP server and client, request log and graceful stop shared by the daemons. */
package org.tanagerhinge.node.daemon;
