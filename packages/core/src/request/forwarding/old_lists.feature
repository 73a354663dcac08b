Feature: No call is written by a list of endpoints that is too old

  Scenario Outline: A call waits until an old list has been read (DRAIN)
    Given a "<kind>" route over "<endpoints>" with 1 endpoints for a call
    And the list of endpoints is too old, and shows after 80 ms that "<leaving>" leaves
    When a call is forwarded that prefers "<leaving>"
    Then the caller gets status 200
    And no call has reached "<leaving>"

    Examples:
      | kind         | endpoints      | leaving |
      | at_most_once | e1, e2         | e1      |
      | idempotent   | e1, e2         | e1      |
      | stream       | d1, d2         | d1      |
      | stream       | p1, p2, d1     | p1      |

  Scenario Outline: An endpoint that leaves while a connection to it is opened gets no call (DRAIN)
    Given a "<kind>" route over "<endpoints>" with 1 endpoints for a call
    And the budget allows 0 repeats
    And a connection to "<leaving>" takes 300 ms to be opened
    And "<leaving>" leaves after 100 ms
    When a call is forwarded that prefers "<leaving>"
    Then the caller gets status 200
    And no call has reached "<leaving>"
    And the budget still allows 0 repeats

    Examples:
      | kind         | endpoints      | leaving |
      | at_most_once | e1, e2         | e1      |
      | idempotent   | e1, e2         | e1      |
      | stream       | d1, d2         | d1      |
      | stream       | p1, p2, d1     | p1      |

  Scenario: A list that gets too old while a connection is opened is read before the call is written (DRAIN)
    Given a "at_most_once" route over "e1" with 1 endpoints for a call
    And a connection to "e1" takes 300 ms to be opened
    And the list of endpoints gets too old after 100 ms, and can be read in 80 ms
    When a call is forwarded
    Then the caller gets status 200
    And the list of endpoints was read 1 time

  Scenario: Engines that leave during an export get no generation (DRAIN)
    Given a "stream" route over "p1, d1, d2" with 1 endpoints for a call
    And "p1" exports after 1500 ms
    And the list of endpoints gets too old after 1000 ms, and shows after 80 ms that "d1" leaves
    When a stream is forwarded that is exported first
    Then the caller gets status 200
    And no call has reached "d1"

  # What an instance does that cannot know in time whether endpoints leave.
  Scenario: Where the list cannot be read in time, calls go on by the last known one
    Given a "at_most_once" route over "e1" with 1 endpoints for a call
    And the list of endpoints is too old and cannot be read
    When a call is forwarded
    Then the caller gets status 200
    And 1 call was sent on the basis "unconfirmed"

  Scenario: A call waits for a list no longer than half of its time
    Given a "at_most_once" route over "e1" with 1 endpoints for a call
    And the list of endpoints is too old, and its read takes all the time that it may
    When a call is forwarded whose caller waits 1000 ms
    Then the caller gets status 200
    And the call has reached its endpoint after at most 500 ms
