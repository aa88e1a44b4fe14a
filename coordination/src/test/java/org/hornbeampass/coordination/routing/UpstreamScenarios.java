package org.hornbeampass.coordination.routing;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios of upstreams that freeze, fail or leave. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features/upstreams.feature")
@ConfigurationParameter(key = "cucumber.glue", value = "org.hornbeampass.coordination.routing")
@ConfigurationParameter(key = "cucumber.junit-platform.naming-strategy", value = "long")
public class UpstreamScenarios {}
