Feature: Instances are tracked by their registrations and digests

  Scenario: An instance is live until it has been silent for 3 s
    Given 3 instances that send digests
    When 2900 ms pass in which only "i-0" sends a digest
    Then 3 instances are live
    When 200 ms pass in which only "i-0" sends a digest
    Then 1 instance is live
    And 3 instances are registered

  # Guards against budgets and duties that are taken over from instances whose digests wait to be read.
  Scenario: An instance that did not get on does not take the others for silent
    Given 3 instances that send digests
    When the instance does not get on for 8000 ms
    Then 3 instances are live
    When 2500 ms pass in which only "i-0" sends a digest
    Then 3 instances are live
    When 600 ms pass in which only "i-0" sends a digest
    Then 1 instance is live

  Scenario: An instance that is neither heard nor registered for a minute is removed
    Given 3 instances that send digests
    When 61000 ms pass in which only "i-0" sends a digest
    Then 1 instance is live
    And 1 instance is registered

  Scenario: An instance that moves is registered at its new address
    Given 3 instances that send digests
    When "i-1" sends a digest from "10.0.0.9:1"
    Then "i-1" is registered at "10.0.0.9:1"
    And 3 instances are registered

  Scenario Outline: What a digest costs does not depend on the number of instances
    Given <instances> instances that send digests
    When "i-0" sends a digest from "10.0.0.1:1"
    Then taking it and counting the live instances looks at the clock 4 times at most

    Examples:
      | instances |
      | 9         |
      | 81        |
