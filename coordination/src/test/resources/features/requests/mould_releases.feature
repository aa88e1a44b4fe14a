Feature: A mould release of the moulding utility is recorded at most once

  Background:
    Given routers "etna", "iblei" and "hybla"

  Scenario: A release is rejected in an outage, and runs later
    Given the platform is down
    When router "etna" is asked for mould release "order-9" for "mould 7"
    And 10 seconds pass
    Then router "etna" answers "not run"
    When the platform is available again
    And 30 seconds pass
    And router "iblei" is asked for mould release "order-9" for "mould 7"
    And 5 seconds pass
    Then router "iblei" answers "GRANTED"
    And release "order-9" ran once

  Scenario: The claim of a release is appended after its caller was answered "not run"
    Given the platform loses every reply
    When router "etna" is asked for mould release "order-9" for "mould 7"
    And 10 seconds pass
    Then router "etna" answers "not run"
    And release "order-9" never ran
    When the platform answers again
    And 30 seconds pass
    And router "iblei" is asked for mould release "order-9" for "mould 7"
    And 5 seconds pass
    Then router "iblei" answers "GRANTED"
    And release "order-9" ran once

  Scenario: Several routers that all act as the owner of the shard
    Given every router sees only itself as live
    When router "etna" is asked for mould release "order-9" for "mould 7"
    And router "iblei" is asked for mould release "order-9" for "mould 7"
    And router "hybla" is asked for mould release "order-9" for "mould 7"
    And 10 seconds pass
    Then release "order-9" ran once

  Scenario: A retry much later gets the recorded outcome
    Given router "etna" runs mould release "order-9" for "mould 7"
    And router "etna" records "released to press 3"
    When 30 minutes pass
    And router "etna" crashes
    And router "hybla" is asked for mould release "order-9" for "mould 7"
    And 10 seconds pass
    Then router "hybla" answers "RECORDED"
    And router "hybla" returns "released to press 3"
