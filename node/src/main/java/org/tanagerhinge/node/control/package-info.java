/** The single thread that owns a node's control state. */
package org.tanagerhinge.node.control;
