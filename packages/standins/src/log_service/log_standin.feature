Feature: Stand-in of the log service, read and written through its adapter

  Scenario: Appends get rising offsets and are read back
    Given a log stand-in
    When the log client appends "one", "two", "three"
    Then the log client's results match the snapshot

  Scenario: A lost answer leaves its record behind and says so
    Given a log stand-in
    And the log loses its next answer
    When the log client appends "one", "two"
    Then the log client's results match the snapshot

  Scenario: An outage refuses and has no effect
    Given a log stand-in
    And the log is out of service
    When the log client appends "one"
    Then the log client's results match the snapshot

  Scenario: A hanging log leaves the effect unknown
    Given a log stand-in
    And the log hangs
    When the log client appends "one"
    Then the log client's results match the snapshot

  Scenario: Appends over the rate are refused and may be repeated
    Given a log stand-in that takes 2 appends a second
    When the log client appends "one", "two", "three"
    Then the log client's results match the snapshot

  Scenario: A read behind the retention edge is told so
    Given a log stand-in
    When the log client appends "one", "two", "three"
    And the log expires what is before offset 2
    Then the log client's results match the snapshot

  Scenario: A waiting read returns with the next append
    Given a log stand-in
    When the log client waits for an entry while "late" is appended
    Then the log client's results match the snapshot

  # Guards against calls that go from one silent connection to the next, each for its whole time.
  Scenario: After one call without an answer, no other silent connection is used
    Given a log stand-in behind a relay
    When 4 reads of the log open a connection each
    And the open connections to the log fall silent
    Then of 3 reads one after the other only the first one fails
