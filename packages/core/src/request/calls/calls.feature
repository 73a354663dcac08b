Feature: Calls that must not repeat run at most once

  Every remote step of a call can be refused, lose its answer, take effect late
  or be the last one of its instance.

  Scenario: A repeat through another instance gets the recorded answer
    Given a desk that offers no look-up
    When these calls are made
      | instance | key | body | fault |
      | a        | k1  | x    |       |
      | b        | k1  | x    |       |
      | b        | k1  | y    |       |
      | b        | k2  | x    |       |
      | b        |     | x    |       |
    Then the calls match the snapshot

  Scenario: The log fails
    Given a desk that offers no look-up
    When these calls are made
      | instance | key | body | fault              |
      | a        | k1  | x    | append refused     |
      | b        | k1  | x    |                    |
      | a        | k2  | x    | append answer lost |
      | a        | k2  | x    |                    |
      | b        | k2  | x    |                    |
      | a        | k3  | x    | append delayed     |
      | b        | k3  | x    |                    |
      | a        | k3  | x    |                    |
    Then the calls match the snapshot

  Scenario: An append lands after its request was refused and frees the key again
    Given a desk that offers no look-up
    When these calls are made
      | instance | key | body | fault          |
      | a        | k1  | x    | append delayed |
      | late     |     |      |                |
      | b        | k1  | x    |                |
    Then the calls match the snapshot

  Scenario: The desk fails
    Given a desk that offers no look-up
    When these calls are made
      | instance | key | body | fault            |
      | a        | k1  | x    | ping refused     |
      | b        | k1  | x    |                  |
      | a        | k2  | x    | call refused     |
      | b        | k2  | x    |                  |
      | a        | k3  | x    | call answer lost |
      | b        | k3  | x    |                  |
      | a        | k4  | x    | call delayed     |
      | late     |     |      |                  |
      | b        | k4  | x    |                  |
    Then the calls match the snapshot

  Scenario: A look-up settles what the desk ran
    Given a desk that offers a look-up by key
    When these calls are made
      | instance | key | body | fault            |
      | a        | k3  | x    | call answer lost |
      | b        | k3  | x    |                  |
      | a        | k4  | x    | call delayed     |
      | b        | k4  | x    |                  |
      | late     |     |      |                  |
      | b        | k4  | x    |                  |
    Then the calls match the snapshot

  Scenario: An instance crashes between intent and dispatch
    Given a desk that offers a look-up by key
    When these calls are made
      | instance | key | body | fault       |
      | a        | k1  | x    | ping crash before |
      | b        | k1  | x    |             |
    Then the calls match the snapshot

  Scenario: An instance crashes after dispatch
    Given a desk that offers a look-up by key
    When these calls are made
      | instance | key | body | fault            |
      | a        | k1  | x    | call crash after |
      | b        | k1  | x    |                  |
    Then the calls match the snapshot

  Scenario: An instance crashes after dispatch and the desk offers no look-up
    Given a desk that offers no look-up
    When these calls are made
      | instance | key | body | fault            |
      | a        | k1  | x    | call crash after |
      | b        | k1  | x    |                  |
    Then the calls match the snapshot

  Scenario: Keys carry their age
    Given a desk that offers no look-up
    When a key dated 25 hours ago is used after a day of other calls
    Then the calls match the snapshot

  Scenario: Crashes, lost answers and repeats at every step
    Then 400 random runs with seed 4201 keep every promise

  Scenario: A checkpoint and any split of the stream give the same state
    Then 50 random streams with seed 4202 fold alike across checkpoints
