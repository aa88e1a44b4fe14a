package org.hornbeampass.coordination.budget;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the Cucumber scenarios of the budgets. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features/budgets.feature")
@ConfigurationParameter(key = "cucumber.glue", value = "org.hornbeampass.coordination.budget")
@ConfigurationParameter(key = "cucumber.junit-platform.naming-strategy", value = "long")
class BudgetScenarios {}
