Feature: Calls with a trait under which endpoints crash are refused, and no others

  Background:
    Given the instances "a, b, c" that pass news of crashes on to each other

  Scenario: The part that all crashes have in common is refused at every instance
    When 3 endpoints crash under "root bad" at "a, b, c" in turn, each beside "root fine" at all of them
    Then calls with "root bad" are refused at "a, b, c"
    And calls with "root fine" may run at "a, b, c"
    And the log of "a" leads from the refusal to the 3 crashes and their calls

  Scenario: Two crashes refuse nothing
    When 2 endpoints crash under "root bad" at "a, b" in turn, each beside "root fine" at all of them
    Then calls with "root bad" may run at "a, b, c"

  Scenario: Parts of which calls complete between the crashes are not refused
    When 9 endpoints crash under "root fine" at "a, b, c" in turn, with completed calls of "root" at "b" in between
    Then calls with "root other" may run at "a, b, c"

  Scenario: A part of which calls completed before needs more crashes
    Given calls with "root" have completed at "a, b, c"
    When 4 endpoints crash under "root" at "a, b, c" in turn, beside nothing
    Then calls with "root" may run at "a, b, c"
    When 1 more endpoint crashes under "root" at "b"
    Then calls with "root" are refused at "a, b, c"

  Scenario Outline: Lost calls are no evidence where no process crashed
    When calls with "root bad" are lost at 5 endpoints at "a", <why>
    Then calls with "root bad" may run at "a, b, c"

    Examples:
      | why                                      |
      | which answer other calls later           |
      | which were leaving                       |
      | which end 11 s later                     |
      | after their callers left 3 s before      |

  Scenario Outline: Calls that may have been in flight at a crash are evidence
    When calls with "root bad" are lost at 3 endpoints at "a", <why>
    Then calls with "root bad" are refused at "a, b, c"

    Examples:
      | why                                      |
      | after their callers left 1 s before      |
      | which answered without a length and ended |

  Scenario: An answer of a new process hides no crash of the former one
    When calls with "root bad" are lost at 3 endpoints at "a", whose new processes answer other calls before they are listed
    Then calls with "root bad" are refused at "a, b, c"

  Scenario: An answer without a length counts as complete once its endpoint answers again
    When calls with "root fine" are answered without a length at "a", by endpoints that go on
    And 3 endpoints crash under "root fine" at "a, b, c" in turn, beside nothing
    Then calls with "root fine" may run at "a, b, c"

  Scenario: Of parts in flight at the same crashes a trial shows the cause
    When 3 endpoints crash under "top mid bad" at "a, b, c" in turn, beside nothing
    Then calls with "top mid bad" are refused at "a, b, c"
    When a call with "top mid" runs as a trial at "a" and completes
    Then calls with "top mid" may run at "a, b, c"
    And calls with "top mid bad" are refused at "a, b, c"

  Scenario: A trial that crashes one more endpoint leaves the cause refused
    When 3 endpoints crash under "top bad" at "a, b, c" in turn, beside nothing
    And a call with "bad" runs as a trial at "a" and crashes an endpoint
    Then calls with "bad" are refused at "a, b, c"
    And calls with "top" may run at "a, b, c"

  Scenario: A trial that finds no endpoint does not hold up the next one
    When 3 endpoints crash under "top bad" at "a, b, c" in turn, beside nothing
    And a call with "top" runs as a trial at "a" and finds no endpoint
    And 1 s passes at "a"
    And a call with "top" runs as a trial at "a" and completes
    Then calls with "top" may run at "a, b, c"
    And calls with "top bad" are refused at "a, b, c"

  Scenario: Instances do not all try calls with traits in flight at the same crashes
    Given the instances "a, b, c, d, e, f, g, h, i", of which one at a time tries calls
    When 3 endpoints crash under "top bad" at "a, b, c" in turn, beside nothing
    Then at most 3 calls with "bad" may run within 6 s at all instances, while it is not known how they end

  Scenario: Repeats of one request are refused, and others on the same route are not
    When 3 endpoints crash under repeats of one request without parts at "a, b, c"
    Then that request is refused at "a, b, c"
    And another request on its route may run at "a, b, c"

  Scenario: A verdict ends 10 minutes after the last crash, and one more crash renews it
    When 3 endpoints crash under "root bad" at "a, b, c" in turn, each beside "root fine" at all of them
    And 601 s pass
    Then calls with "root bad" may run at "a, b, c"
    When 1 more endpoint crashes under "root bad" at "b"
    Then calls with "root bad" are refused at "a, b, c"

  Scenario: Stored evidence outlasts a restart of all instances
    When 3 endpoints crash under "root bad" at "a, b, c" in turn, each beside "root fine" at all of them
    And all instances start again with what they stored
    Then calls with "root bad" are refused at "a, b, c"
    And calls with "root fine" may run at "a, b, c"

  # Guards against refused calls with a sound part, as a restart brings old evidence back.
  Scenario Outline: An instance that starts again with old evidence hears of the calls that completed since
    When 3 endpoints crash under "sound" at "a, b" in turn, beside nothing
    Then calls with "sound" are refused at "a, b, c"
    When "a" stores its evidence
    Given calls with "sound" have completed at "b"
    When 20 s pass
    And "a" starts again with what it stored, and <state>
    And <passed> s pass
    Then calls with "sound" may run at "a, b, c"

    Examples:
      | state                 | passed |
      | with the state of "b" | 0      |
      | no state              | 7      |

  Scenario: An instance that missed the news learns of verdicts from any later digest
    When "c" is cut off from the others
    And 3 endpoints crash under "root bad" at "a, b" in turn, each beside "root fine" at all of them
    And 20 s pass
    And "c" is heard again for 6 s
    Then calls with "root bad" are refused at "a, b, c"

  Scenario: Invented ids leave the evidence bounded and the verdict in force
    When 3 endpoints crash under "root bad" at "a, b, c" in turn, each beside "root fine" at all of them
    And 200 endpoints crash under 40 calls each with invented parts at "a"
    Then each instance holds at most 64 crashes with 256 traits each
    And no digest reports more than 1200 traits
    And calls with "root bad" are refused at "a, b, c"

  Scenario: Whatever order crashes, completed calls and news come in, sound parts go on
    Then 200 random histories refuse the crashing part after 3 crashes at the latest and no part with calls that complete
