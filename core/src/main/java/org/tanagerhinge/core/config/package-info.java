/** The configuration shared by all nodes: profiles, workspaces and backend servers, as versioned documents. */
package org.tanagerhinge.core.config;
