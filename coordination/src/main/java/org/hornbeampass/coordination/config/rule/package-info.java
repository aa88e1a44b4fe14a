/** The validation rules for configuration changes, one class each. */
package org.hornbeampass.coordination.config.rule;
