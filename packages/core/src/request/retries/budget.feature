Feature: Repeats are bounded by the accepted requests

  Scenario: Any failures keep endpoint calls within the budget
    Then any mix of accepted requests and failures keeps calls below 1.1 per accepted request beyond a fixed burst

  Scenario: A hedge pays only when the call is late and another engine is sooner
    Then the hedge decisions match the snapshot
