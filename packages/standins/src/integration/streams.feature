Feature: Streams through real instances and faulty links

  Scenario: Streams go on when every open connection to an engine falls silent
    Given a quick fleet of the association with 3 instances
    When 30 streams of 300 tokens run at once while every open connection to an engine falls silent
    Then each stream got its own whole answer in order
    And requests after the silence are answered whole
