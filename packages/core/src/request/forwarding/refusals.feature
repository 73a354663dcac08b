Feature: Calls are refused at once or not at all, and never while an engine is free

  # The goal is 600 ms, so callers wait 2400 ms for the first event. Engines that
  # generate take 0.06 ms for a token, the others 0.02 ms; more in long prompts.
  Scenario Outline: Streams beyond what the chosen engine can begin, with one engine free
    Given a "stream" route over "<engines>" with 1 endpoints for a call
    And "<busy>" has <ahead> prompt tokens ahead with the part "x" of <part>
    And "<last>" answers "events 1-2"
    When a stream of <tokens> prompt tokens with the part "x" comes
    Then the caller gets status 200
    And the call has reached "<reached>"

    Examples:
      | engines    | busy | ahead | part  | tokens | last | reached |
      | d1, d2     | d1   | 25000 | 6000  | 6100   | d2   | d2      |
      | p1, p2, d1 | p1   | 70000 | 15000 | 15100  | d1   | p2, d1  |

  Scenario: A large prompt is not refused for its size
    Given a "stream" route over "d1" with 1 endpoints for a call
    And "d1" answers "events 1-2"
    When a stream of 30000 prompt tokens with the part "x" comes
    Then the caller gets status 200

  Scenario Outline: Streams that cannot begin in the caller's time are refused at once
    Given a "stream" route over "d1, d2" with 1 endpoints for a call
    And "d1" has <ahead> prompt tokens ahead
    And "d2" has <ahead> prompt tokens ahead
    When a stream of <tokens> prompt tokens with the part "x" comes whose caller waits <ms> ms
    Then the call is refused within 10 ms

    Examples:
      | ahead | tokens | ms   |
      | 0     | 90000  | 6000 |
      | 0     | 10000  | 600  |
      | 12000 | 100    | 600  |
      | 21000 | 100    | 6000 |

  Scenario: An engine whose slots are taken is not free
    Given a "stream" route over "d1, d2" with 1 endpoints for a call
    And "d1" has 25000 prompt tokens ahead with the part "x" of 20000
    And all slots of "d2" are taken
    When a stream of 20100 prompt tokens with the part "x" comes
    Then the call is refused within 10 ms

  Scenario Outline: A call that all endpoints have refused does not wait for the list
    Given a "<kind>" route over "<endpoints>" with 1 endpoints for a call
    And "<last>" exports after 300 ms
    And "<last>" answers "full"
    And the list of endpoints gets too old after 200 ms, and can be read in 1000 ms
    When a <call> comes
    Then the call is refused within 320 ms

    Examples:
      | kind         | endpoints | last | call                                       |
      | at_most_once | e1        | e1   | call                                       |
      | idempotent   | e1        | e1   | call                                       |
      | stream       | d1        | d1   | stream of 100 prompt tokens with the part "x" |

  Scenario Outline: A call whose endpoints have failed waits for the list
    Given a "<kind>" route over "<endpoint>" with 1 endpoints for a call
    And "<endpoint>" turns out to be down after 300 ms
    And the list of endpoints gets too old after 200 ms, and can be read in 1000 ms
    When a <call> comes
    Then the call is refused within 1320 ms
    And the list of endpoints was read 1 time

    Examples:
      | kind         | endpoint | call                                          |
      | at_most_once | e1       | call                                          |
      | stream       | d1       | stream of 200 prompt tokens with the part "x" |

  Scenario: A call like those under which endpoints crash does not wait for the list
    Given a "stream" route over "d1" with 1 endpoints for a call
    And endpoints have crashed under the part "x"
    And the list of endpoints is too old, and its read takes all the time that it may
    When a stream of 100 prompt tokens with the part "x" comes
    Then the call is refused within 10 ms
