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
