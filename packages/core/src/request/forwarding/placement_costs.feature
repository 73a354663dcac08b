Feature: The cost of a placement grows with the engines, not with their square

  Scenario Outline: A placement reads the load of each engine a few times
    Given <engines> engines in <domains> failure domains, a quarter of which generate
    When a prompt is placed
    Then the load of an engine was read at most 4 times on average
    And the prompt is placed as by comparing all pairs of engines

    Examples:
      | engines | domains |
      | 16      | 3       |
      | 80      | 5       |
      | 240     | 6       |
