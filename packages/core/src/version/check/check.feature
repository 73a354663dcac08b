Feature: A routing configuration is checked before it is written to the store

  Scenario: A sound configuration has no faults
    Then the sound configuration has no faults

  Scenario: Each fault is found at its place
    Then the faults of a configuration that breaks each rule match the snapshot

  Scenario Outline: Limits are faults from a bound on
    Then <limits> are <verdict>

    Examples:
      | limits                                           | verdict  |
      | a goal of 1000 ms and a timeout of 1000 ms       | accepted |
      | a goal of 1001 ms and a timeout of 1000 ms       | reported |
      | 2 endpoints for a call of kind idempotent        | accepted |
      | 2 endpoints for a call of kind stream            | reported |
      | 2 endpoints for a call of kind resumable stream  | accepted |
      | 1 endpoints for a call of kind at_most_once      | accepted |
      | 2 endpoints for a call of kind at_most_once      | reported |
      | 3 to 3 endpoints, reclaimable at a price of 0.99 | accepted |
      | 4 to 3 endpoints, reclaimable at a price of 0.99 | reported |
      | 3 to 3 endpoints, reclaimable at a price of 1    | reported |
      | version 8 after version 7                        | accepted |
      | version 7 after version 7                        | reported |
      | weights 0 and 1                                  | reported |
      | weights 1 and 1                                  | accepted |

  Scenario: Routes are reported as never chosen where no call finds them
    Then of any routes, those that no call finds are reported as never chosen

  Scenario: Changes are described in words, and keys are counted
    Then the changes between two configurations match the snapshot
    And no finding and no change holds a key

  Scenario: A configuration does not differ from itself
    Then no configuration differs from itself, also with repeated names
