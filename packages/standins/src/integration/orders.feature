Feature: Orders of real instances never conflict

  The holder of a pool's lease is killed or suspended at a step of an order,
  which the log or the engine recognises. The engine's own records tell what it
  was ordered.

  Scenario Outline: The holder is <hit> when <step>, and the engine <checks> numbers
    Given three instances before one engine that <checks> numbers
    When a bundle with another model version is published
    And the holder is <hit> when <step>
    Then the engine runs the new version and never had two changes at once

    Examples:
      | hit       | step                          | checks  |
      | killed    | its drain is in the log       | checks  |
      | killed    | its order is in the log       | checks  |
      | killed    | its order is at the engine    | checks  |
      | killed    | its order is at the engine    | ignores |
      | suspended | its order is in the log       | checks  |
      | suspended | its order is in the log       | ignores |
      | suspended | its order is at the engine    | ignores |

  Scenario: The same fault hits two holders one after the other
    Given three instances before one engine that checks numbers
    When a bundle with another model version is published
    And the holder is killed when its order is at the engine
    And the engine restarts within the change
    And the holder is killed when its order is in the log
    Then the engine runs the new version and never had two changes at once

  Scenario: The holder is cut off from the log during its order
    Given three instances before one engine that checks numbers
    When a bundle with another model version is published
    And the holder is cut off when its order is at the engine
    Then the engine runs the new version and never had two changes at once
