/** Settings of a program, read from an INI file and validated before the program starts. */
package org.tanagerhinge.node.settings;
