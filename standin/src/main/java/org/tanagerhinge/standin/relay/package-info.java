/**
 * Stand-ins for the platform's store, its duty endpoint and backend servers, with injected faults down to single bytes.
 */
package org.tanagerhinge.standin.relay;
