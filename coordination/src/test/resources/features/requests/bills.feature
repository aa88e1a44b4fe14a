Feature: Each flow review is billed exactly once

  Background:
    Given routers "etna", "iblei" and "hybla"

  Scenario: The router crashes before its bill is durable and the caller retries elsewhere
    Given the platform is down
    When router "etna" bills review "R1" with 900 tokens
    And router "etna" crashes
    And the platform is available again
    And router "iblei" bills review "R1" with 950 tokens
    And 10 seconds pass
    Then review "R1" is billed with 950 tokens

  Scenario: The router crashes after its bill is durable and the caller retries elsewhere
    When router "etna" bills review "R1" with 900 tokens
    And 2 seconds pass
    And router "etna" crashes
    And router "iblei" bills review "R1" with 950 tokens
    And 10 seconds pass
    Then review "R1" is billed with 950 tokens
    And the routers settle 950 tokens
    And 900 tokens are refunded

  Scenario: The caller disconnects after the first token of the answer and retries elsewhere
    When router "etna" bills review "R1" with 101 tokens
    And 2 seconds pass
    And router "iblei" bills review "R1" with 900 tokens
    And 10 seconds pass
    And router "hybla" bills review "R1" with 900 tokens
    And 10 seconds pass
    Then review "R1" has exactly one bill
    And review "R1" is billed with 900 tokens
    And the routers settle 900 tokens

  Scenario: Replies of the platform and of the routers are lost
    Given the platform and the network lose 3 of 10 messages
    When 40 reviews with 10 tokens are billed, each by two routers
    And 10 minutes pass
    And the platform answers again
    And 2 minutes pass
    Then 400 tokens are billed and 400 are refunded

  Scenario: A platform outage of 20 minutes
    Given the platform is down
    When 40 reviews with 10 tokens are billed, each by two routers
    And 20 minutes pass
    Then nothing is billed
    When the platform is available again
    And 2 minutes pass
    Then 400 tokens are billed and 400 are refunded

  Scenario: A router that is isolated from the platform but not from the other routers
    Given router "etna" is isolated from the platform
    When router "etna" bills review "R1" with 900 tokens
    And 1 minute passes
    Then review "R1" is billed with 900 tokens

  Scenario: A router that is isolated from the other routers but not from the platform
    Given router "etna" is isolated from the other routers
    When router "etna" bills review "R1" with 900 tokens
    And router "iblei" bills review "R1" with 950 tokens
    And 1 minute passes
    Then review "R1" has exactly one bill
