/** The rules that a configuration change is checked against, one class each. */
package org.hornbeampass.coordination.config.rule;
