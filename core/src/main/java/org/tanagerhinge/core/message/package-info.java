/** Typed messages between routers and agents; the wire module encodes them. */
package org.tanagerhinge.core.message;
