package org.hornbeampass.coordination.requests;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios of billing and of calls that may not be repeated. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features/requests")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.hornbeampass.coordination.requests")
class RequestScenarios {}
