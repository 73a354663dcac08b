Feature: Hostile and broken input of the daemon

  More seeds: FUZZ_SEED=7 FUZZ_RUNS=5000 before the command that runs this file.

  Scenario: Settings with random faults
    Then no settings with random faults crash their check

  Scenario: Bodies of callers with random faults
    Given a caller gateway that answers completions and services
    Then bodies with random faults are answered or refused as not run
    And the gateway still serves

  Scenario: Bodies that no handler should see
    Given a caller gateway that answers completions and services
    Then these bodies are refused as not run
      | body           | status |
      | too large      | 413    |
      | deeply nested  | 400    |
      | not JSON       | 400    |
      | not UTF-8      | 400    |
      | empty          | 400    |
      | a bare number  | 400    |
      | unknown coding | 400    |
    And the gateway still serves

  Scenario: Paths, keys and bytes that are no requests
    Given a caller gateway that answers completions and services
    Then random paths, keys and bytes are refused or cut, and never reach a service without a key
    And the gateway still serves

  Scenario: Messages of peers with random faults
    Given a peer server
    Then messages with random faults are taken or refused, and refused all with a wrong key
    And the peer server still answers
