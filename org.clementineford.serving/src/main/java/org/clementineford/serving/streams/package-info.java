/** Parsing of server-sent event streams. */
package org.clementineford.serving.streams;
