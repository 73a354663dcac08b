Feature: Requests that crash engines are found with few engines lost

  Scenario: One digest costs at most two engines over all instances
    Then any order of runs, resends and exchanges loses at most 2 engines to one digest and refuses no neighbour for good

  Scenario: A wrong suspicion clears
    Given an instance that saw an engine crash with 3 requests in flight
    When each of them is run again and completes
    Then all verdicts are clear, also on an instance that hears the old evidence late

  Scenario: Evidence is bounded
    When 5000 digests crash engines one after the other
    Then the evidence holds at most 2048 digests and still names the newest refused one

  Scenario: Two instances never run suspects on one engine
    Then of two instances that open trials on one engine at most one keeps it once both have heard
