Feature: Membership follows a list that lags and fails

  Background:
    Given a membership that reads the list every 500 ms
    And the list shows "e1 live, e2 live, e3 live, e4 live, entry live"

  Scenario: A leaving endpoint gets no new work within 3 s of the list showing it
    When the list shows "e1 leaving, e2 live, e3 live, e4 live, entry live"
    Then within 3000 ms the leaving endpoints are "e1"

  Scenario: A slow answer does not hold it up for longer
    When the list takes 1000 ms to answer
    And the list shows "e1 leaving, e2 live, e3 live, e4 live, entry live"
    Then within 3000 ms the leaving endpoints are "e1"

  Scenario: Failed and empty answers change nothing
    When the list fails for 60000 ms
    Then the leaving endpoints are ""
    When the list shows ""
    And 60000 ms pass for the membership
    Then the leaving endpoints are ""
    And the membership history matches the snapshot

  Scenario: An endpoint that a single list lacks keeps its work
    When the list shows "e2 live, e3 live, e4 live, entry live"
    And 600 ms pass for the membership
    Then the leaving endpoints are ""
    When the list shows "e1 live, e2 live, e3 live, e4 live, entry live"
    And 5000 ms pass for the membership
    Then the leaving endpoints are ""

  Scenario: An endpoint that successive lists lack is gone, and may come back
    When the list shows "e2 live, e3 live, e4 live, entry live"
    And 2500 ms pass for the membership
    Then the leaving endpoints are "e1"
    When the list shows "e1 live, e2 live, e3 live, e4 live, entry live"
    And 600 ms pass for the membership
    Then the leaving endpoints are ""
    And the membership history matches the snapshot

  Scenario: A list that lacks most of the fleet removes nothing
    When the list shows "e1 live"
    And 60000 ms pass for the membership
    Then the leaving endpoints are ""

  Scenario: An endpoint's own word counts at once, and until it takes it back
    When "e2" says that it is leaving
    Then the leaving endpoints are "e2"
    And the words for peers are "e2"
    When "e2" says that it is staying
    Then the leaving endpoints are ""

  Scenario: A peer's word counts, is not passed on and runs out
    When a peer says that "e3" is leaving
    Then the leaving endpoints are "e3"
    And the words for peers are ""
    When 31000 ms pass for the membership
    Then the leaving endpoints are ""

  Scenario: An endpoint that the list shows live again is a new process
    When the list shows "e1 leaving, e2 live, e3 live, e4 live, entry live"
    And 600 ms pass for the membership
    And "e1" says that it is leaving
    And the list shows "e1 live, e2 live, e3 live, e4 live, entry live"
    And 600 ms pass for the membership
    Then the leaving endpoints are ""

  Scenario: Instances are counted and never fall to none
    Then 1 instances are counted
    When the list shows "e1 live, e2 live, e3 live, e4 live, entry leaving"
    And 600 ms pass for the membership
    Then 1 instances are counted

  Scenario: Calls go on by an old list where no other can be had in time
    When the list takes 60000 ms to answer
    And 2500 ms pass for the membership
    Then calls to "e1" may not be written
    When a call waits up to 600 ms for a recent list
    Then calls to "e1" may be written
    And the membership has logged 725 1 times

  Scenario: Calls that waited for a suspended process wait for a list that tells who has left
    When the list takes 100 ms to answer
    And the process is suspended for 4000 ms, in which the list shows "e1 leaving, e2 live, e3 live, e4 live, entry live"
    Then calls to "e1" may not be written
    And calls to "e2" may not be written
    When a call waits up to 600 ms for a recent list
    Then calls to "e1" may not be written
    But calls to "e2" may be written
    And the membership has logged 725 0 times
