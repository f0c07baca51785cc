/**
 * A model of a large fleet, for rounds of policy that take seconds: engines that read prompts in pieces between the tokens
 * of their streams and drop what was used least recently, gateways with the real decision code and reports of each other
 * that are late, callers who leave and come back.
 */
package org.tanagerhinge.bench.fleet;
