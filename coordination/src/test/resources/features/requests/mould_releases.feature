Feature: A mould release of the moulding utility is recorded at most once

  Background:
    Given routers "etna", "iblei" and "hybla"

  Scenario: A release in an outage is refused, and runs later
    Given the platform is down
    When router "etna" is asked for mould release "order-9" for "mould 7"
    And 10 seconds pass
    Then router "etna" answers "not run"
    When the platform is back
    And 30 seconds pass
    And router "iblei" is asked for mould release "order-9" for "mould 7"
    And 5 seconds pass
    Then router "iblei" answers "GRANTED"
    And release "order-9" ran once

  Scenario: A release whose claim lands after its caller was told "not run"
    Given the platform loses every reply
    When router "etna" is asked for mould release "order-9" for "mould 7"
    And 10 seconds pass
    Then router "etna" answers "not run"
    And release "order-9" ran never
    When the platform answers again
    And 30 seconds pass
    And router "iblei" is asked for mould release "order-9" for "mould 7"
    And 5 seconds pass
    Then router "iblei" answers "GRANTED"
    And release "order-9" ran once

  Scenario: Two routers that both take themselves for the shard's owner
    Given every router sees itself alone
    When router "etna" is asked for mould release "order-9" for "mould 7"
    And router "iblei" is asked for mould release "order-9" for "mould 7"
    And router "hybla" is asked for mould release "order-9" for "mould 7"
    And 10 seconds pass
    Then release "order-9" ran once

  Scenario: A retry long afterwards gets the recorded outcome
    Given router "etna" runs mould release "order-9" for "mould 7"
    And router "etna" records "released to press 3"
    When 30 minutes pass
    And router "etna" dies
    And router "hybla" is asked for mould release "order-9" for "mould 7"
    And 10 seconds pass
    Then router "hybla" answers "RECORDED"
    And router "hybla" passes on "released to press 3"
