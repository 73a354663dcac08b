Feature: Admission is fair, bounded and refuses early

  Scenario: Callers that wait are served by their shares
    Then the fair queue keeps any callers within one request of their shares

  Scenario: A batch request is served among endless interactive ones
    Given a fair queue that always holds interactive requests
    When a batch request waits in the fair queue
    Then it is served within the work that its share allows

  Scenario: The queue has a bound
    Given an admission with room for 1 request that lets 3 wait
    When 20 callers ask for admission at once
    Then at most 3 wait and each of the others was refused with a time to come back

  Scenario: A request that can no longer end in time is refused at once
    Given an admission on a paused clock whose engines answer in 4000 ms
    When 100 requests with a deadline of 60000 ms ask for admission
    Then at least 85 of them were refused in the first second with a time to come back

  Scenario: Closed tickets give back all that they held
    Then any order of admissions, first tokens and ends leaves nothing held

  Scenario: Stopping refuses what waits
    Given an admission with room for 1 request that lets 3 wait
    When 4 callers ask for admission at once
    And the admission stops
    Then the answers of the admission match the snapshot
