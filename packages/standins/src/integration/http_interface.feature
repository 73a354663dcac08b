Feature: Callers get the right status and outcome

  Scenario: Bad requests are refused as not run
    Given a small fleet for the caller interface
    When callers send each kind of bad request
    Then their statuses and outcomes match the snapshot
    And no engine and no service of the small fleet ran anything

  Scenario: Models and services are answered under the caller's rights
    Given a small fleet for the caller interface
    When a caller lists models, completes, chats and reads a service
    Then the shapes of the answers match the snapshot

  Scenario: A peer without the shared key learns nothing
    Given a small fleet for the caller interface
    When a stranger asks the peers' listener for its control state
    Then the stranger is refused
