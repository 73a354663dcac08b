Feature: Load tool

  Scenario: A seed gives the same requests each time
    Then two workloads of seed 5 are equal and one of seed 6 differs
    And the first requests of seed 5 match the snapshot

  Scenario: Answers are judged by what their caller gets
    Given an entry server that answers by prompt
    When the prompts "whole, foreign, swapped, short, cut, refused, late, silent" are sent by the load tool
    Then the judged answers match the snapshot

  Scenario: The balancer passes over instances that are not ready or refuse connections
    Given an entry server that answers by prompt
    And an entry server that has stopped listening
    When the prompts "whole" are sent by the load tool
    Then the judged answers match the snapshot

  Scenario: The pipe passes an engine's answer on
    Given a pipe in front of an engine stand-in
    When the prompts "piped" are sent by the load tool
    Then the judged answers match the snapshot
