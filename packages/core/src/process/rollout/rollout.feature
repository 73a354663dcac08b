Feature: A bundle is rolled out engine by engine

  One lease holder changes one engine of a pool at a time, keeps the pool's
  floors, and stops by itself when a step makes things worse.

  Scenario: Engines follow the bundle failure domain by failure domain
    Given a pool of engines "e1, e2, e3, e4" kept by "a, b"
    When "a" conducts the pool
    And 20 s pass with the rollout
    Then the rollout matches the snapshot
    When 60 s pass with the rollout
    Then the rollout matches the snapshot
    And at most 1 engine was away at a time

  Scenario: An engine that fails twice stops the rollout until it is resumed
    Given a pool of engines "e1, e2, e3" kept by "a"
    And changes of engine "e3" fail
    When "a" conducts the pool
    And 120 s pass with the rollout
    Then the rollout matches the snapshot
    When changes of engine "e3" succeed
    And an operator resumes the rollout
    And 60 s pass with the rollout
    Then the rollout matches the snapshot

  Scenario: More failed requests stop the rollout
    Given a pool of engines "e1, e2, e3" kept by "a"
    When "a" conducts the pool
    And each further second 10 requests finish and 5 fail
    And 60 s pass with the rollout
    Then the rollout matches the snapshot

  Scenario: The next holder goes on when the conductor dies
    Given a pool of engines "e1, e2, e3" kept by "a, b"
    When "a" conducts the pool
    And 15 s pass with the rollout
    And "a" dies as conductor
    And "b" conducts the pool
    And 180 s pass with the rollout
    Then the rollout matches the snapshot
    And no engine of the rollout saw a violation

  Scenario: A pool with one engine keeps its floors
    Given a pool of engines "e1" kept by "a"
    When "a" conducts the pool
    And 60 s pass with the rollout
    Then the rollout matches the snapshot

  Scenario: Roles change after the rollout, one at a time and above the floors
    Given a pool of engines "e1, e2" kept by "a"
    And a planner that wants "e1" to prefill and then "e2" to prefill
    When "a" conducts the pool
    And 60 s pass with the rollout
    Then the rollout matches the snapshot
