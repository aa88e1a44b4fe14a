package org.hornbeampass.coordination.fleet;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios on membership, addresses and configuration. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features/fleet")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.hornbeampass.coordination.fleet")
@ConfigurationParameter(key = "cucumber.junit-platform.naming-strategy", value = "long")
class FleetScenarios {}
