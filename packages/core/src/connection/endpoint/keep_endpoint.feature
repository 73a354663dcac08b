Feature: One task observes each endpoint

  Background:
    Given an endpoint under observation

  Scenario: A silent endpoint is reported once, and once more when it is heard
    When the endpoint is silent on all connections for 10 s
    And the endpoint answers for 2 s
    Then the endpoint's observations match the snapshot

  Scenario: Silent connections are replaced and the endpoint keeps its work
    When the endpoint is silent on old connections for 5 s
    Then the endpoint's observations match the snapshot

  Scenario: Idle connections that are silent are replaced
    When the endpoint answers for 1 s
    And its idle connections are silent for 3 s
    Then the endpoint's observations match the snapshot

  Scenario: A new start is a crash of the earlier one
    When the endpoint answers for 2 s
    And the endpoint starts anew and answers for 2 s
    Then the endpoint's observations match the snapshot

  Scenario: An endpoint that refuses connections is silent at once
    When the endpoint answers for 2 s
    And the endpoint refuses connections for 1 s
    Then the endpoint's observations match the snapshot
