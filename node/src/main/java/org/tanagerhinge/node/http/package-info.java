/** What makes bytes of a server an HTTP response, wherever the daemons read one. */
package org.tanagerhinge.node.http;
