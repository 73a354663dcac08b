Feature: Streams through real instances and faulty links

  Scenario: 200 concurrent streams get their own whole answers while links delay and cut
    Given a quick fleet of the association with 3 instances
    And links to engines are delayed by 3 ms with 3 ms of jitter
    When 200 streams of 60 tokens run at once while links to engines are cut 12 times with seed 11
    Then each stream got its own whole answer in order

  Scenario: Streams go on when every open connection to an engine falls silent
    Given a quick fleet of the association with 3 instances
    When 30 streams of 300 tokens run at once while every open connection to an engine falls silent
    Then each stream got its own whole answer in order
    And requests after the silence are answered whole
