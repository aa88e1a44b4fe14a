Feature: Each flow review is billed exactly once

  Background:
    Given routers "etna", "iblei" and "hybla"

  Scenario: The router dies before its bill and the caller retries elsewhere
    Given the platform is down
    When router "etna" bills review "R1" with 900 tokens
    And router "etna" dies
    And the platform is back
    And router "iblei" bills review "R1" with 950 tokens
    And 10 seconds pass
    Then review "R1" is billed with 950 tokens

  Scenario: The router dies after its bill and the caller retries elsewhere
    When router "etna" bills review "R1" with 900 tokens
    And 2 seconds pass
    And router "etna" dies
    And router "iblei" bills review "R1" with 950 tokens
    And 10 seconds pass
    Then review "R1" is billed with 950 tokens
    And the routers settle 950 tokens
    And 900 tokens are refunded

  Scenario: The caller breaks the answer off after its first token and retries elsewhere
    When router "etna" bills review "R1" with 101 tokens
    And 2 seconds pass
    And router "iblei" bills review "R1" with 900 tokens
    And 10 seconds pass
    And router "hybla" bills review "R1" with 900 tokens
    And 10 seconds pass
    Then one bill stands for review "R1"
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
    When the platform is back
    And 2 minutes pass
    Then 400 tokens are billed and 400 are refunded

  Scenario: A router that is cut off from the platform but not from the others
    Given router "etna" is cut off from the platform
    When router "etna" bills review "R1" with 900 tokens
    And 1 minute passes
    Then review "R1" is billed with 900 tokens

  Scenario: A router that is cut off from the others but not from the platform
    Given router "etna" is cut off from the others
    When router "etna" bills review "R1" with 900 tokens
    And router "iblei" bills review "R1" with 950 tokens
    And 1 minute passes
    Then one bill stands for review "R1"
