Feature: The list of endpoints follows the store and survives its outages

  Background:
    Given a list of endpoints with "e1, e2, e3" from the store

  Scenario: An endpoint that leaves takes no new work
    When the store shows "e1 leaving"
    Then the endpoints that take work are "e2, e3"
    And the endpoints that are known are "e1, e2, e3"

  Scenario: An endpoint that is removed is gone at once while the store is steady
    When the store removes "e1"
    Then the endpoints that take work are "e2, e3"

  Scenario: Entries that lapsed while the store was away have time to return
    When the store comes back after an outage
    And the store removes "e1"
    And the store removes "e2"
    Then the endpoints that take work are "e1, e2, e3"
    When the store shows "e1"
    And 3000 ms pass for the list
    Then the endpoints that take work are "e1, e3"

  Scenario: A leaving endpoint that lapsed does not come back
    When the store shows "e1 leaving"
    And the store comes back after an outage
    And the store removes "e1"
    Then the endpoints that are known are "e2, e3"

  # Guards against peers that skip a change which this instance has read ahead of its offset.
  Scenario: A change that a later page of the list holds counts at its own offset
    When the store is read anew up to offset 4, with "e1 leaving" at offset 7
    Then a peer at offset 5 sees that it misses a change

  Scenario: Reading the newest of each key replaces the whole list
    When the store is read anew and shows "e2, e4"
    Then the endpoints that take work are "e2, e4"

  Scenario: Another instance's newer list is taken, an older one is not
    When another instance knows "e1, e4" up to offset 90
    Then the endpoints that take work are "e1, e4"
    When another instance knows "e1, e2" up to offset 80
    Then the endpoints that take work are "e1, e4"

  Scenario: What was known of an endpoint ends with its process
    When the store shows "e1 restarted"
    And the store removes "e2"
    Then the endpoints whose process ended are "e1, e2"

  Scenario: Lapsed endpoints of another instance keep their place only where this one saw the outage
    When another instance knows "e1, e2, e3" up to offset 90, of which "e1" has lapsed
    Then the endpoints that take work are "e2, e3"
    When the store comes back after an outage
    And another instance knows "e2, e3" up to offset 95, of which "e2" has lapsed
    Then the endpoints that take work are "e2, e3"
    When 3000 ms pass for the list
    Then the endpoints that take work are "e3"

  Scenario: Only what matters counts as a change
    When the store shows "e1"
    Then the list has changed up to offset 3 and is read up to offset 4
    When the store shows "e1 leaving"
    Then the list has changed up to offset 5 and is read up to offset 5
    When another instance has read on to offset 9
    Then the list has changed up to offset 5 and is read up to offset 9

  # Guards against peers that keep an endpoint in use because this instance did not list it any more (DRAIN).
  Scenario: The removal of an endpoint that is not listed counts as a change
    When the store removes "e9"
    Then the list has changed up to offset 4 and is read up to offset 4

  # Guards against peers that skip a removal which a list read anew does not show (DRAIN).
  Scenario: A list that is read anew counts as a change
    When the store is read anew up to offset 9, with "e1, e2, e3" at offset 3
    Then the list has changed up to offset 9 and is read up to offset 9

  Scenario: An endpoint that keeps its place for now counts as a change
    When the store comes back after an outage
    And the store removes "e1"
    Then the list has changed up to offset 4 and is read up to offset 4

  Scenario: A whole list that was overtaken by newer changes is dropped
    When another instance knows "e1, e4" up to offset 90
    And the store is read anew and shows "e1, e2"
    Then the endpoints that take work are "e1, e4"

  # Guards against calls to endpoints that have said that they leave, until the store says it, too (ORDER).
  Scenario: An endpoint that says that it leaves takes no new work, whatever the store shows
    When "e1" says that it leaves
    Then the endpoints that take work are "e2, e3"
    And peers are told that "e1" leaves
    When the store shows "e1"
    And the store is read anew and shows "e1, e2, e3"
    And another instance knows "e1, e2, e3" up to offset 90
    And 60000 ms pass for the list
    Then the endpoints that take work are "e2, e3"
    When the store shows "e1 leaving"
    Then peers are told of no endpoint that leaves
    When the store removes "e1"
    And the store shows "e1"
    Then the endpoints that take work are "e2, e3"
    When the store shows "e1 restarted"
    Then the endpoints that take work are "e1, e2, e3"

  Scenario: An endpoint that says to a peer that it leaves takes no new work, and is not told on
    When a peer tells that "e1" leaves
    Then the endpoints that take work are "e2, e3"
    And peers are told of no endpoint that leaves
    When "e1" says that it leaves
    Then peers are told that "e1" leaves
    When the store shows "e1 restarted"
    Then the endpoints that take work are "e1, e2, e3"
    And peers are told of no endpoint that leaves

  Scenario: What a peer tells of an endpoint that is not listed yet holds once it is
    When a peer tells that "e4" leaves
    And the store shows "e4"
    Then the endpoints that take work are "e1, e2, e3"

  # Guards against a word of a process that a peer with an older list takes back.
  Scenario: What a peer tells of a former process leaves the word of the next one in force
    When the store shows "e1 restarted"
    And "e1 restarted" says that it leaves
    Then the endpoints that take work are "e2, e3"
    When a peer tells that "e1" leaves
    Then the endpoints that take work are "e2, e3"

  Scenario: A late answer of a former process leaves the word of the next one in force
    When the store shows "e1 restarted"
    And "e1 restarted" says that it leaves
    And "e1" says that it leaves
    Then the endpoints that take work are "e2, e3"

  Scenario: Another instance gets the list as the store has it
    When "e1" says that it leaves
    Then the list for another instance shows no endpoint that leaves

  # Guards against calls to endpoints that leave or have left, after an earlier write of theirs that took effect late (ORDER).
  Scenario Outline: An earlier entry of a process that takes effect late brings it back to no work
    When the store shows "e1 5"
    And the store shows "e1 leaving 7"
    And <next>
    Then the endpoints that take work are "<taking>"

    Examples:
      | next                                                | taking     |
      | the store shows "e1 6"                              | e2, e3     |
      | the store is read anew and shows "e1 6, e2, e3"     | e2, e3     |
      | another instance knows "e1 6, e2, e3" up to offset 90 | e2, e3     |
      | the store shows "e1 8"                              | e1, e2, e3 |
      | the store shows "e1 restarted 1"                    | e1, e2, e3 |

  Scenario: Neither does it bring back a process that was removed, nor undo what it says of leaving
    When the store shows "e1 5, e2 5, e3 5"
    And the store removes "e1"
    And the store shows "e1 4"
    And the store shows "e2 leaving 4"
    Then the endpoints that take work are "e3"
    When the store shows "e1 6"
    Then the endpoints that take work are "e1, e3"
