Feature: What instances were offered is added up at the rate at which it came

  Scenario: Work of an instance that was silent for long does not count as a burst
    Given instances that are offered 100 calls a second each, "a b"
    When they are asked each second for 10 s
    And "b" is not heard for 10 s
    And they are asked each second for 4 s
    Then no second had more than 250 calls
    And the last second had 200 calls

  Scenario: Instances of a former version count no squares
    Given instances that are offered 100 calls a second each, "a"
    And each call lacks 2000 tokens, and nobody counts squares
    When they are asked each second for 4 s
    Then a missing token is expected in a prompt of 2000 tokens
