Feature: A stream of the log is followed

  Background:
    Given two nodes that follow one stream

  Scenario: Records of one moment share an entry
    When the first node appends "ab"
    And 100 ms pass on the log's nodes
    Then the followed stream matches the snapshot

  Scenario: An append whose answer is lost counts once
    Given the log's answers are lost
    When the first node appends "a"
    And 1000 ms pass on the log's nodes
    Then the followed stream matches the snapshot

  Scenario: An append that is lost on its way is sent again
    Given the log's entries are lost
    When the first node appends "a"
    And 300 ms pass on the log's nodes
    And the log works again
    And 2000 ms pass on the log's nodes
    Then the followed stream matches the snapshot

  Scenario: An unsettled append is unknown, also when it arrives later
    Given the log's entries are held back
    When the first node appends "a"
    And 6000 ms pass on the log's nodes
    And the log works again
    And the held entries arrive
    And 2000 ms pass on the log's nodes
    Then the followed stream matches the snapshot

  Scenario: An entry that arrives after it expired counts for no reader
    Given the log's entries are held back
    When the first node appends "a"
    And 200 ms pass on the log's nodes
    And another writer appends 2048 entries
    And 200 ms pass on the log's nodes
    And the held entries arrive
    And 2000 ms pass on the log's nodes
    Then the followed stream matches the snapshot

  Scenario: An append during an outage is certainly not in the log
    Given the log is down
    When 3000 ms pass on the log's nodes
    And the first node appends "a"
    And 100 ms pass on the log's nodes
    And the log works again
    And 5000 ms pass on the log's nodes
    Then the followed stream matches the snapshot

  Scenario: Malformed entries are skipped by every reader
    When the entry "not a group" stands in the log
    And the first node appends "a"
    And 200 ms pass on the log's nodes
    Then the followed stream matches the snapshot

  Scenario: A node starts behind the retention edge
    When the first node appends "a"
    And 200 ms pass on the log's nodes
    And 70000 ms pass on the log's nodes
    And the second node appends "b"
    And 200 ms pass on the log's nodes
    And the log forgets what the newest checkpoint covers
    And a third node starts
    And 200 ms pass on the log's nodes
    Then the followed stream matches the snapshot

  Scenario: Checkpoints go on while nothing else is written
    When the first node appends "a"
    And 400000 ms pass on the log's nodes
    Then no two checkpoints are more than 90000 ms apart

  Scenario: A node starts from a peer while the log is down
    When the first node appends "a"
    And 200 ms pass on the log's nodes
    And the log is down
    And a third node starts that asks the first for its state
    And 1000 ms pass on the log's nodes
    Then the followed stream matches the snapshot

  Scenario: A stale peer changes nothing
    When the first node appends "a"
    And 200 ms pass on the log's nodes
    And the first node is offered the state before "a"
    Then the followed stream matches the snapshot

  Scenario: A peer carries state to a node that cannot read the log
    When the second node is cut off from the log
    And 1000 ms pass on the log's nodes
    And the first node appends "a"
    And 200 ms pass on the log's nodes
    And the second node is offered the state of the first
    Then the followed stream matches the snapshot
