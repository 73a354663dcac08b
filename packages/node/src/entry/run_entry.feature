Feature: Signals are handled from the start of an entry on

  Scenario: A hangup during the start does not end the entry
    Given an entry whose start takes a while
    When it gets SIGHUP while it starts
    Then it goes on with its start
