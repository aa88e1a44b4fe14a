Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Two operators race with conflicting changes
    Given 6 VMs in 1 region
    And the template "desk" has priority 5
    When an operator at "vm-1" and an operator at "vm-2" set the priority of template "desk" to 6 and 7 at once
    Then one change is reported as accepted
    And the other is rejected with REVISION_CONFLICT and the winning revision
    And the accepted priority of template "desk" is in force on all VMs within 5 s

  Scenario: A template change applies to the organisations that did not override it
    Given 6 VMs in 1 region
    And the template "desk" has priority 5
    And the organisation "flights" uses template "desk"
    And the organisation "night-shift" uses template "desk" with its own priority 2
    When an operator at "vm-3" sets the priority of template "desk" to 8
    Then within 5 s organisation "flights" has priority 8 on all VMs
    And organisation "night-shift" has priority 2 on all VMs

  Scenario: The reply to an accepted change is lost
    Given 6 VMs in 1 region
    And the platform loses half of its replies
    When an operator at "vm-4" sets the priority of template "desk" to 3
    Then within 30 s the change is reported as accepted
    And the platform stores the change once

  Scenario: A region without access to the platform receives a change from its peers
    Given 12 VMs in 3 regions
    And the VMs of region "r2" are cut off from the platform
    When an operator at "vm-0" sets the priority of template "desk" to 4
    Then the priority 4 of template "desk" is in force on all VMs within 13 s

  Scenario: An isolated region catches up after the partition
    Given 12 VMs in 3 regions
    And region "r2" is cut off from the platform and from all other VMs
    When an operator at "vm-0" sets the priority of template "desk" to 4
    And 600 s pass
    And all partitions end
    Then the priority 4 of template "desk" is in force on all VMs within 60 s

  Scenario: A VM that starts in a platform outage loads the newest configuration from its peers
    Given 6 VMs in 1 region
    And the template "desk" has priority 5
    And the platform is out of service
    When "vm-5" is restarted
    Then "vm-5" is ready within 20 s with priority 5 of template "desk"

  Scenario: All VMs start in a platform outage
    Given 6 VMs in 1 region
    And the template "desk" has priority 5
    And the platform is out of service
    When all VMs are restarted
    And 60 s pass
    Then no VM is ready, and each reports the reason
    When the platform is back in service
    Then the priority 5 of template "desk" is in force on all VMs within 30 s

  Scenario: An accepted change survives a restart of all VMs
    Given 6 VMs in 1 region
    When an operator at "vm-0" sets the priority of template "desk" to 9
    And the change is reported as accepted
    And all VMs are restarted
    Then the priority 9 of template "desk" is in force on all VMs within 30 s
