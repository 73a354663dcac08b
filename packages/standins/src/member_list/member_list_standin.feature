Feature: Stand-in of the lagging list, read through its adapter

  Scenario: A change shows after the lag
    Given a list stand-in with an engine "e1" and a lag of 300 ms
    When the list marks "e1" as leaving
    Then the list client reads "live" for "e1" before the lag and "leaving" after it

  # Guards against one odd entry that makes the whole list unreadable.
  Scenario: Entries that name no process are left out, and told once
    Given a list stand-in with an engine "e1" and a lag of 0 ms
    When odd entries are listed beside it
    Then the list client reads only "e1", twice
    And the list client has told of 5 odd entries

  Scenario: Outage, empty list and slow answers
    Given a list stand-in with an engine "e1" and a lag of 0 ms
    When the list is read in an outage, empty, too slow and restored
    Then the list client's answers match the snapshot
