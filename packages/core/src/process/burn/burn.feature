Feature: Service-level counters and their report

  Scenario: Calls are counted by how they ended
    Given the counters of an instance on a paused clock
    When calls of every kind are counted
    Then the service-level summary matches the snapshot

  Scenario: Counters stay bounded whatever callers send
    Given the counters of an instance on a paused clock
    When 5000 calls of different groups, models and callers are counted
    Then the summary has at most 522 counters and all 5000 calls

  Scenario: Nothing is lost or counted twice while the log refuses
    Given the counters of an instance on a paused clock
    And a burn stream that refuses 3 appends after taking effect
    When a call ends in each of 6 intervals and the instance stops
    Then the report from the stream counts 6 useful answers and no gap

  Scenario: A replayed history gives the known report
    Given a replayed day of three instances with one outage and one killed instance
    Then the report has the known burn rates, budgets and alerts
    And the service-level report matches the snapshot

  Scenario: The order and repeats of records do not matter
    Given a replayed day of three instances with one outage and one killed instance
    Then shuffled and repeated records give the same report
