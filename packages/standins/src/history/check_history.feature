Feature: Recorded histories are checked against the model's rules

  Scenario Outline: <history>
    Given a recorded takeover on an engine that checks numbers
    When the recorded history shows <history>
    Then the findings of the history match the snapshot

    Examples:
      | history                               |
      | nothing wrong                         |
      | an order that was not admitted        |
      | an order after a later one            |
      | two changes at once                   |
      | a call that ran twice                 |
      | a call without an intent              |
      | a call that was given up              |
      | a call recorded as done that did not run |
