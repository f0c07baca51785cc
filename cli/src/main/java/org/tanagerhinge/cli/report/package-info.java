/** One page that shows what a fleet's logs tell of some minutes: answers, waiting, engines, refusals, and what happened. */
package org.tanagerhinge.cli.report;
