Feature: A manifest entry of the flight desk runs at most once

  Background:
    Given routers "etna", "iblei" and "hybla"

  Scenario: The reply to the claim is lost
    Given the platform loses every reply
    When router "etna" is asked for manifest entry "AZ-17" for "cabin 4"
    And 1 second passes
    And the platform answers again
    And 10 seconds pass
    Then entry "AZ-17" ran at most once
    And the log holds at most one open claim for "AZ-17"

  Scenario: A retry while the first router is still running the call
    Given router "etna" runs manifest entry "AZ-17" for "cabin 4"
    When router "iblei" is asked for manifest entry "AZ-17" for "cabin 4"
    And 2 seconds pass
    Then router "iblei" answers "RUNNING"
    And entry "AZ-17" ran once

  Scenario: The first router is paused for longer than every timeout
    Given router "etna" runs manifest entry "AZ-17" for "cabin 4"
    And router "etna" is paused
    And all other routers consider router "etna" dead
    When 10 minutes pass
    And router "iblei" is asked for manifest entry "AZ-17" for "cabin 4"
    And 2 seconds pass
    And router "etna" resumes
    And router "etna" records "seat 12 noted"
    And 10 seconds pass
    And router "hybla" is asked for manifest entry "AZ-17" for "cabin 4"
    And 2 seconds pass
    Then entry "AZ-17" ran once
    And router "hybla" answers "RECORDED"
    And router "hybla" returns "seat 12 noted"

  Scenario: The first router crashes
    Given router "etna" runs manifest entry "AZ-17" for "cabin 4"
    And router "etna" crashes
    When router "iblei" is asked for manifest entry "AZ-17" for "cabin 4"
    And 10 seconds pass
    Then router "iblei" answers "OUTCOME_UNKNOWN"
    And entry "AZ-17" ran once

  Scenario: The key is used for another cabin
    Given router "etna" runs manifest entry "AZ-17" for "cabin 4"
    When router "iblei" is asked for manifest entry "AZ-17" for "cabin 5"
    And 2 seconds pass
    Then router "iblei" answers "KEY_REUSED"
    And entry "AZ-17" ran once
