Feature: A refusal that is written once more is not the answer to a later call

  Scenario Outline: Calls one after the other
    Given a server that refuses the first call of each connection with <status>, and writes that refusal once more before its next answer
    When 20 calls are sent one after the other
    Then no call that has run is refused as without effect
    And each call has run or is refused

    Examples:
      | status |
      | 400    |
      | 429    |
      | 503    |

  Scenario: Calls at a time
    Given a server that refuses the first call of each connection with 503, and writes that refusal once more before its next answer
    When 20 calls are sent at a time on 2 connections
    Then no call that has run is refused as without effect
    And each call has run or is refused

  Scenario: A refusal that nobody asked for refuses no call of a service that must run once
    Given a server that writes a refusal that nobody asked for before each further answer on a connection
    When 20 calls of its service come one after the other
    Then no call that has run is refused as without effect
    And each call has run or is refused

  # Guards against refusals that nobody asked for, taken for the answer to the completion that runs.
  Scenario: A refusal that nobody asked for refuses no completion
    Given a server that writes a refusal that nobody asked for before each further answer on a connection
    When 20 completions of its engine come one after the other
    Then no call that has run is refused as without effect
    And each call has run or is refused

  Scenario: Connections of calls that succeed are kept
    Given a server that answers all calls
    When 20 calls are sent one after the other
    Then the calls came on at most 3 connections
