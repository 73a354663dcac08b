Feature: Bookings of real instances run at most once

  An instance is killed at each step of a booking, which its log and its desk
  recognise, and the caller repeats the booking at another instance.

  Scenario Outline: The instance is killed when <step>
    Given instances "a, b" before a booking desk
    When "a" is killed during booking "k1" when <step>
    And booking "k1" is repeated at "b" until it is decided
    Then the desk ran booking "k1" <runs> times and its caller was told "<outcome>"

    Examples:
      | step                            | runs | outcome |
      | its intent arrives at the log   | 1    | done    |
      | its intent is in the log        | 0    | unknown |
      | its call arrives at the desk    | 1    | done    |
      | the desk has run its call       | 1    | done    |
      | its result arrives at the log   | 1    | done    |
      | its result is in the log        | 1    | done    |

  Scenario: The log loses answers, is down for long and comes back
    Given instances "a, b" before a booking desk
    When the log loses 3 answers to the next appends
    And booking "k1" is repeated at "a" until it is decided
    And the log of the fleet is down
    And booking "k2" is sent to "b"
    And booking "k2" is sent to "a"
    And 8 s pass in the fleet
    And booking "k3" is sent to "b"
    And the log of the fleet is up again
    And booking "k2" is repeated at "b" until it is decided
    And booking "k3" is repeated at "a" until it is decided
    Then callers were told
      | booking | outcomes              |
      | k1      | done                  |
      | k2      | unknown, unknown, done |
      | k3      | unknown, done         |
    And each booking ran at most once and as its caller was told

  Scenario: A suspended instance wakes up after its booking was repeated
    Given instances "a, b" before a booking desk
    When "a" is suspended during booking "k1" when its intent is in the log
    And booking "k1" is sent to "b"
    And "a" goes on after 8 s
    And booking "k1" is repeated at "b" until it is decided
    Then the desk ran booking "k1" 1 times and its caller was told "done"

  Scenario: An instance is cut off from its desks and from the log
    Given instances "a, b" before a booking desk
    When the desks do not answer on open connections
    And booking "k1" is repeated at "a" until it is decided
    And the desks' answers are lost
    And booking "k2" is sent to "a"
    And the desks answer again
    And booking "k2" is repeated at "b" until it is decided
    And "a" is cut off from the log
    And booking "k3" is sent to "a"
    And booking "k3" is repeated at "b" until it is decided
    Then each booking ran at most once and as its caller was told

  Scenario: A repeat at an instance without the log is not called not run
    Given instances "a, b" before a booking desk
    When booking "k0" is repeated at "b" until it is decided
    And "b" is cut off from the log
    And booking "k1" is sent to "a"
    And booking "k1" is sent to "b"
    Then nobody was told of a booking that had run that it was not run
