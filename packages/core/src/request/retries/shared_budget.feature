Feature: Repeats stay within the budget that all instances share

  Scenario: Any mix of calls and repeats at any instances keeps the bound
    Then in any window all instances together spend no more than the ratio of their calls and the slack

  Scenario: A budget that is spent refills as the window moves on
    Given an instance out of 4 with a ratio of 0.2 and a slack of 40 in 10000 ms
    When it asks for 20 repeats
    Then 7 of them were allowed
    When 10100 ms pass for the budget
    And it asks for 20 repeats
    Then 14 of them were allowed
