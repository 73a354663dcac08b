Feature: A call to a plain service ends with its caller unless its result is kept

  Scenario: A call without a key does not go on for a caller that has left (GONE)
    Given a caller that calls a service without a key
    When the caller disconnects
    Then the call is aborted

  Scenario: A call with a key goes on for a repeat of it
    Given a caller that calls a service with the key "k1"
    When the caller disconnects
    Then the call is not aborted
