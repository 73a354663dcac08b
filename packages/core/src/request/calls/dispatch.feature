Feature: Each attempt of a call goes to an endpoint that takes work at that moment

  Background:
    Given a service with the endpoints "desk-1, desk-2, desk-3"

  Scenario: A retry does not go to an endpoint that has left meanwhile (DRAIN)
    When "desk-2" leaves while "desk-1" runs an idempotent call without an answer
    Then the call reaches "desk-1, desk-3"

  Scenario: An endpoint that leaves while it is pinged gets no call (DRAIN)
    When "desk-1" leaves while it is pinged for a call that must not repeat
    Then the endpoint found for the call is "desk-2"
