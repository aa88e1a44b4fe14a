Feature: Address answers contain only VMs that accept requests

  Scenario: A leaving VM is in no address answer after a few seconds
    Given 8 VMs in 1 region
    When "vm-3" begins its shutdown
    Then "vm-3" is in no address answer within 3 s

  Scenario: A crashed VM is in no address answer after a few seconds
    Given 8 VMs in 1 region
    When "vm-3" crashes
    Then "vm-3" is in no address answer within 8 s

  Scenario: A failure domain is lost
    Given 12 VMs in 1 region
    When all VMs of failure domain "r0-d1" crash
    Then within 12 s each answer holds only VMs of the failure domains "r0-d0" and "r0-d2"

  Scenario: An outdated platform list does not restore a VM that left
    Given 8 VMs in 1 region
    When "vm-3" begins its shutdown
    And "vm-3" crashes
    And 30 s pass
    And the platform's list still shows all VMs
    Then "vm-3" is in no address answer within 1 s

  Scenario: A region is partitioned from the others for ten minutes
    Given 12 VMs in 3 regions
    When region "r0" is cut off from the platform and from all other VMs
    And 600 s pass
    Then no running VM is proved gone
    When all partitions end
    Then all VMs see each other live within 60 s
