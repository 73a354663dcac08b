Feature: Recent changes of the list are repeated to the instances that do not read the store

  Background:
    Given an instance that reads the list

  Scenario: Changes are collected from the first one on
    When it reads "engine-1" from offset 5 as a change
    And it reads "engine-2" from offset 6 without a change
    And it reads "engine-3" from offset 7 as a change
    Then the update holds "engine-1, engine-3" from offset 5

  Scenario: A change is dropped once every instance had time to hear it
    When it reads "engine-1" from offset 5 as a change
    And 2000 ms pass for the updates
    And it reads "engine-2" from offset 6 as a change
    And 2000 ms pass for the updates
    Then the update holds "engine-2" from offset 6
    When 2000 ms pass for the updates
    Then there is no update

  Scenario: After the whole list was read there is nothing to repeat
    When it reads "engine-1" from offset 5 as a change
    And it reads the whole list
    Then there is no update

  Scenario: Too many changes are left to a fetch of the whole list
    When it reads 65 endpoints from offset 5 as a change
    Then there is no update

  # Guards against an update that skips changes which its sender has from a peer (DRAIN).
  Scenario: Changes that a peer has read in between are repeated as well
    When it reads "engine-1" from offset 5 as a change
    And a peer has read "engine-2" from offset 6 as a change
    And it reads "engine-3" from offset 7 as a change
    Then the update holds "engine-1, engine-2, engine-3" from offset 5

  Scenario: Where a peer has found no change in between, earlier changes are still repeated
    When it reads "engine-1" from offset 5 as a change
    And a peer has found no change up to offset 8
    And it reads "engine-3" from offset 8 as a change
    Then the update holds "engine-1, engine-3" from offset 5

  Scenario: Changes before those that are not known one by one are not repeated
    When it reads "engine-1" from offset 5 as a change
    And it takes the list up to offset 8 from a peer
    And it reads "engine-3" from offset 8 as a change
    Then the update holds "engine-3" from offset 8

  Scenario: Changes that were not collected are not skipped
    When it reads "engine-1" from offset 5 as a change
    And it reads "engine-3" from offset 8 as a change
    Then the update holds "engine-3" from offset 8
