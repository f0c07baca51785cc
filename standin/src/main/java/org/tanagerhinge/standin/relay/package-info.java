/**
 * Stand-ins for what the relay meets on the users' platform: its store, and backend servers that can be told to fail in
 * every way that a test needs, byte by byte.
 */
package org.tanagerhinge.standin.relay;
