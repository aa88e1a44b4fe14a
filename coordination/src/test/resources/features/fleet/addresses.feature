Feature: Callers are told addresses of VMs that serve

  Scenario: A VM that leaves is in no answer after a few seconds
    Given 8 VMs in 1 region
    When "vm-3" begins its shutdown
    Then "vm-3" is in no address answer within 3 s

  Scenario: A VM that died is in no answer after a few seconds
    Given 8 VMs in 1 region
    When "vm-3" dies
    Then "vm-3" is in no address answer within 8 s

  Scenario: A failure domain is lost
    Given 12 VMs in 1 region
    When all VMs of failure domain "r0-d1" die
    Then within 12 s each answer holds only VMs of the failure domains "r0-d0" and "r0-d2"

  Scenario: An older list of the platform does not bring back a VM that left
    Given 8 VMs in 1 region
    When "vm-3" begins its shutdown
    And "vm-3" dies
    And 30 s pass
    And the platform's list still shows all VMs
    Then "vm-3" is in no address answer within 1 s

  Scenario: Two regions lose each other for ten minutes
    Given 12 VMs in 3 regions
    When region "r0" is cut off from the platform and from all other VMs
    And 600 s pass
    Then no VM that runs is proved gone
    When all partitions end
    Then all VMs see each other live within 60 s
