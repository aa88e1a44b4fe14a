Feature: Upstreams that freeze, fail or leave

  Scenario: A late briefing with one flight desk runner frozen
    Given a flight desk with 6 runners in 3 failure domains
    When briefings come for 20 seconds and runner 2 freezes after 5 seconds
    Then each briefing is answered
    And no briefing waits longer than 2500 ms for its first token
    And 3 seconds after the fault runner 2 gets at most 1 briefing at a time

  Scenario: A failure domain is lost
    Given a flight desk with 6 runners in 3 failure domains
    When briefings come for 20 seconds and failure domain 1 is lost after 5 seconds
    Then each briefing is answered
    And the attempts are at most 1.1 times the briefings
    And 3 seconds after the fault the runners at fault get at most 1 briefing at a time

  Scenario: A leaving runner and an old list
    Given a flight desk with 6 runners in 3 failure domains
    When briefings come for 20 seconds and runner 4 leaves after 5 seconds
    And an older list that still shows runner 4 comes after 8 seconds
    Then each briefing is answered
    And 3 seconds after the fault runner 4 gets no briefing at all

  Scenario: A third of the upstreams fails
    Given a flight desk with 6 runners in 3 failure domains
    When manifest entries come for 20 seconds and runners 0 and 3 answer with errors after 5 seconds
    Then no manifest entry is sent twice once a byte of it was sent
    And the attempts are at most 1.1 times the manifest entries
