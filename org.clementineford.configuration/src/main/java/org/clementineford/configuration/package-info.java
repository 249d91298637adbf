/** The configuration document: its sections, revisions, validation and updates. */
package org.clementineford.configuration;
