Feature: Prepaid budgets stay correct when messages are lost and VMs fail

  Scenario: A budget is topped up during a network partition
    Given 3 VMs and a budget of 1000 tokens
    When a request of at most 300 tokens starts on VM 1
    And VM 1 is cut off from all others
    And 2 seconds pass
    And an operator tops up by 5000 tokens, gets no reply and repeats it
    Then 6000 tokens are paid
    When a request of at most 2000 tokens starts on VM 2
    Then the request is admitted
    When a request of at most 3000 tokens starts on VM 1
    Then the request is refused as BUDGET_UNREACHABLE
    When the request on VM 1 ends with 250 tokens used
    And VM 1 is reconnected
    And 30 seconds pass
    Then 250 tokens are settled
    And no tokens are written off
    And the statement reconciles exactly and the audit finds no violation

  Scenario: A VM crashes while a request streams
    Given 3 VMs and a budget of 1000 tokens
    When a request of at most 400 tokens starts on VM 1
    And VM 1 crashes
    And VM 1 is declared gone
    And 2 seconds pass
    Then at least 400 tokens are written off
    When a request of at most 700 tokens starts on VM 2
    Then the request is refused as BUDGET_EXHAUSTED
    When a request of at most 200 tokens starts on VM 2
    Then the request is admitted
    And the statement reconciles exactly and the audit finds no violation

  Scenario: A paused VM resumes after it was declared gone
    Given 3 VMs and a budget of 1000 tokens
    When a request of at most 400 tokens starts on VM 1
    And VM 1 is paused
    And VM 1 is declared gone
    And 2 seconds pass
    Then at least 400 tokens are written off
    When VM 1 resumes
    And the request on VM 1 ends with 350 tokens used
    And 30 seconds pass
    Then 350 tokens are settled
    And no tokens are written off
    And the statement reconciles exactly and the audit finds no violation

  Scenario: An operator lowers a budget below the tokens granted
    Given 2 VMs and a budget of 1000 tokens
    When a request of at most 700 tokens starts on VM 1
    And an operator lowers the budget to 200 tokens
    And 40 seconds pass
    Then 700 tokens are paid
    When a request of at most 100 tokens starts on VM 2
    Then the request is refused as BUDGET_UNREACHABLE
    When the request on VM 1 ends with 150 tokens used
    And 60 seconds pass
    Then 200 tokens are paid
    And 150 tokens are settled
    And the statement reconciles exactly and the audit finds no violation
