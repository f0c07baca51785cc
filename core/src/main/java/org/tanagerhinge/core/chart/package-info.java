/** State charts that are read from files, validated at startup and interpreted. */
package org.tanagerhinge.core.chart;
