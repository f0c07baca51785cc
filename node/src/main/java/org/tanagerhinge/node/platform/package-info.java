/** Access to the platform's key-value store, and the configuration and claims stored there. */
package org.tanagerhinge.node.platform;
