/** How the programs write their logs. */
package org.tanagerhinge.node.log;
