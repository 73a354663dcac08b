Feature: One instance at a time claims a duty

  Scenario: The first claim gets a fencing number, later ones of the holder higher ones
    Given instances "a, b" with a duty whose lease is 3000 ms
    When "a" claims the duty
    And "a" claims the duty
    Then the fencing numbers are "a 1, a 2"

  Scenario: Another instance has to wait two leases after it has read the claim
    Given instances "a, b" with a duty whose lease is 3000 ms
    When "a" claims the duty
    And "b" claims the duty
    And 5900 ms pass for the duty
    And "b" claims the duty
    And 200 ms pass for the duty
    And "b" claims the duty
    Then the fencing numbers are "a 1, b none, b none, b 2"

  Scenario: Of two claims at the same end of the topic the first wins
    Given instances "a, b" with a duty whose lease is 3000 ms
    When "a" and "b" claim the duty at the same time
    Then the fencing numbers are "a 1, b none"

  Scenario: A term ends on the holder's own clock long before another may claim
    Given instances "a, b" with a duty whose lease is 3000 ms
    When "a" claims the duty
    Then the newest term is current: yes
    When 1000 ms pass for the duty
    Then the newest term is current: no

  Scenario: A holder that was suspended does not act on its old term
    Given instances "a, b" with a duty whose lease is 3000 ms
    When "a" claims the duty
    And the machine of the holder stands still for 9000 ms
    Then the newest term is current: no

  Scenario: A claim whose answer is lost gives no term, and blocks the others
    Given instances "a, b" with a duty whose lease is 3000 ms
    When the store loses the answer to the next append
    And "a" claims the duty
    And "b" claims the duty
    And "a" claims the duty
    Then the fencing numbers are "a none, b none, a 2"

  Scenario: Without the store there is no claim
    Given instances "a, b" with a duty whose lease is 3000 ms
    When the store of the duty is down
    And "a" claims the duty
    Then the fencing numbers are "a none"

  # Guards against a call to the store without an answer, after which nobody claims the duty any more.
  Scenario Outline: A call to the store that is never answered ends the claim, not the duty
    Given instances "a, b" with a duty whose lease is 3000 ms
    And the store never answers the next <call> of the duty
    When "a" begins to claim the duty
    And 2000 ms pass for the duty
    And "a" claims the duty
    Then the fencing numbers are "a none, a 1"

    Examples:
      | call   |
      | read   |
      | append |
