/** The agent daemon, which runs beside one backend server and carries all requests to it. */
package org.tanagerhinge.agent;
