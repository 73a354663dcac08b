Feature: Relay that injects faults into TCP connections

  Background:
    Given an echo server behind a relay with seed 7

  Scenario: A delayed link is late by at least its delay, in order
    When the link is delayed by 20 ms with 10 ms of jitter
    Then 50 numbered lines come back whole and in order, none sooner than 40 ms

  Scenario: Lost chunks are late but arrive
    When a third of the chunks are lost for 30 ms
    Then 50 numbered lines come back whole and in order, none sooner than 0 ms

  Scenario: A stalled connection holds its bytes and goes on later
    When connection "a" opens and the open connections stall
    And connection "a" sends "held" while connection "b" sends "passed"
    And the stall ends and connection "a" is answered "held"
    Then the relayed connections match the snapshot

  Scenario: Open connections go silent for good while new ones work
    When connection "a" opens and the open connections become a black hole
    And connection "a" sends "swallowed" while connection "b" sends "passed"
    And the black hole ends
    Then the relayed connections match the snapshot

  Scenario: A half-open connection is not told that its other end is gone
    When connection "a" opens and the open connections become half-open
    And connection "a" sends "swallowed" while connection "b" sends "passed"
    Then the relayed connections match the snapshot

  Scenario: Open connections are cut and new ones work
    When connection "a" opens and the open connections are cut
    And connection "a" sends "lost" while connection "b" sends "passed"
    Then the relayed connections match the snapshot

  Scenario: New connections are cut while open ones work
    When connection "a" opens and new connections are cut
    And connection "b" sends "lost" while connection "a" sends "passed"
    Then the relayed connections match the snapshot

  Scenario: One direction alone goes silent
    When connection "a" opens and its answers become a black hole
    And connection "a" sends "heard" while connection "b" sends "passed"
    Then the relayed connections match the snapshot

  Scenario: A reset right after bytes is passed on as one, not as their end
    When 20 connections are answered "part" and reset at once
    Then each of them has "part" or less, and was reset
