Feature: One instance holds a pool's lease

  Background:
    Given three instances that keep the lease of one pool

  Scenario: One of several claimants wins
    When 3000 ms pass for the lease keepers
    Then the history of the lease matches the snapshot

  Scenario: The holder is cut off and stops before another takes over
    When 3000 ms pass for the lease keepers
    And the holder is cut off from the lease's log
    And 20000 ms pass for the lease keepers
    Then the history of the lease matches the snapshot

  Scenario: A holder that reads late counts its lease from sending
    When 3000 ms pass for the lease keepers
    And the holder reads the lease's log 2300 ms late
    And 8000 ms pass for the lease keepers
    And the holder is cut off from the lease's log
    And 20000 ms pass for the lease keepers
    Then two instances held the lease one after the other

  Scenario: A cut-off holder comes back and finds its epoch passed
    When 3000 ms pass for the lease keepers
    And the holder is cut off from the lease's log
    And 10000 ms pass for the lease keepers
    And all reach the lease's log again
    Then the first holder is told that its epoch is lost
    When 10000 ms pass for the lease keepers
    Then the history of the lease matches the snapshot

  Scenario: Lost answers do not end a lease
    When 3000 ms pass for the lease keepers
    And the answers of the lease's log are lost
    And 20000 ms pass for the lease keepers
    Then the history of the lease matches the snapshot

  Scenario: An outage of the log ends the lease and its end gives one holder
    When 3000 ms pass for the lease keepers
    And the lease's log is down for 60000 ms
    Then no instance holds the lease
    When 10000 ms pass for the lease keepers
    Then one instance holds the lease

  Scenario: A planned stop hands the lease over at once
    When 3000 ms pass for the lease keepers
    And the holder is stopped as planned
    And 1500 ms pass for the lease keepers
    Then the history of the lease matches the snapshot
