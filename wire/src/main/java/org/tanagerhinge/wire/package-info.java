/** Transport between routers and agents: protobuf messages over mutually authenticated TCP connections. */
package org.tanagerhinge.wire;
