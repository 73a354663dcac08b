Feature: Stand-in of the weight store, asked through its adapter

  Scenario: Loads over the rate are refused with a time to come back
    Given a weight store stand-in that grants 2 loads in 400 ms
    When 3 loads are asked for at once
    Then the weight store grants, grants and refuses, and grants again after the given time
