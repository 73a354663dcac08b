Feature: Calls are forwarded truthfully and at most as often as their kind allows

  Scenario Outline: A plain call ends as its kind and the endpoints' answers allow
    Given a "<kind>" route over "e1, e2" with <most> endpoints for a call
    And "e1" answers "<first>"
    And "e2" answers "<second>"
    When a call is forwarded that reaches "e1" first
    Then the caller gets status <status>
    And the call has reached "<reached>"

    Examples:
      | kind         | most | first       | second      | status | reached |
      | idempotent   | 2    | ok          | ok          | 200    | e1      |
      | idempotent   | 2    | 500         | ok          | 200    | e1, e2  |
      | idempotent   | 1    | 500         | ok          | 500    | e1      |
      | idempotent   | 2    | lost        | ok          | 200    | e1, e2  |
      | idempotent   | 2    | torn        | ok          | 200    | e1, e2  |
      | idempotent   | 2    | foreign     | ok          | 200    | e1, e2  |
      | idempotent   | 2    | unmarked    | ok          | 200    | e1, e2  |
      | idempotent   | 2    | encoded     | ok          | 200    | e1, e2  |
      | idempotent   | 2    | silent      | ok          | 200    | e1, e2  |
      | idempotent   | 2    | lost        | 500         | 500    | e1, e2  |
      | idempotent   | 2    | lost        | lost        | 502    | e1, e2  |
      | idempotent   | 2    | full        | full        | 503    | e1, e2  |
      | idempotent   | 1    | unstated 429 | ok         | 429    | e1      |
      | idempotent   | 1    | unstated 503 | ok         | 503    | e1      |
      | idempotent   | 2    | unstated 503 | ok         | 200    | e1, e2  |
      | at_most_once | 1    | unnamed full | ok         | 200    | e1, e2  |
      | at_most_once | 1    | unasked     | ok          | 502    | e1      |
      | stream       | 1    | unasked     | ok          | 502    | e1      |
      | idempotent   | 2    | unasked     | ok          | 200    | e1, e2  |
      | idempotent   | 1    | unasked     | ok          | 502    | e1      |
      | resumable stream | 1 | unasked    | ok          | 502    | e1      |
      | at_most_once | 1    | copied      | ok          | 502    | e1      |
      | stream       | 1    | copied      | ok          | 502    | e1      |
      | idempotent   | 2    | copied      | ok          | 200    | e1, e2  |
      | resumable stream | 1 | copied     | ok          | 502    | e1      |
      | at_most_once | 1    | unstated 408 | ok         | 502    | e1      |
      | at_most_once | 1    | unstated 429 | ok         | 502    | e1      |
      | at_most_once | 1    | unstated 503 | ok         | 502    | e1      |
      | stream       | 1    | unstated 503 | ok         | 502    | e1      |
      | resumable stream | 1 | unstated 503 | ok        | 503    | e1      |
      | at_most_once | 1    | ok          | ok          | 200    | e1      |
      | at_most_once | 1    | 500         | ok          | 500    | e1      |
      | at_most_once | 1    | lost        | ok          | 502    | e1      |
      | at_most_once | 1    | torn        | ok          | 502    | e1      |
      | at_most_once | 1    | foreign     | ok          | 502    | e1      |
      | at_most_once | 1    | unmarked    | ok          | 502    | e1      |
      | at_most_once | 1    | silent      | ok          | 504    | e1      |
      | at_most_once | 1    | unreachable | ok          | 200    | e1, e2  |
      | at_most_once | 1    | full        | ok          | 200    | e1, e2  |
      | at_most_once | 1    | misdirected | ok          | 200    | e1, e2  |
      | at_most_once | 1    | full        | unreachable | 503    | e1, e2  |
      | at_most_once | 1    | full        | lost        | 502    | e1, e2  |
      | resumable at_most_once | 2 | lost | ok          | 502    | e1      |
      | resumable at_most_once | 2 | 500  | ok          | 500    | e1      |

  Scenario: A refusal says when to come back
    Given a "at_most_once" route over "" with 1 endpoints for a call
    When a call is forwarded
    Then the caller gets status 503
    And the caller is told when to come back

  Scenario: An answer that ends with its connection is passed on like that
    Given a "at_most_once" route over "e1" with 1 endpoints for a call
    And "e1" answers "unframed"
    When a call is forwarded
    Then the caller gets status 200
    And the caller's answer ends with its connection

  Scenario: A path without a route is answered as such
    Given a "idempotent" route over "e1" with 1 endpoints for a call
    When a call to another path is forwarded
    Then the caller gets status 404

  Scenario: A caller that leaves takes its call with it
    Given a "idempotent" route over "e1, e2" with 2 endpoints for a call
    And "e1" answers "silent"
    When a call is forwarded that reaches "e1" first
    And its caller leaves
    Then the call at "e1" is taken back
    And the call has reached "e1"

  Scenario: Whatever endpoints do, a call that must not repeat runs once and "not run" is true
    Then any behaviours of three endpoints keep the promises of calls that run at most once

  Scenario: A short stream is generated where its prompt is computed
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "d1" answers "events 1-3"
    When a stream with 100 prompt tokens is forwarded
    Then the caller gets events 1 to 3 and the end
    And the call has reached "d1"

  Scenario: A long prompt is computed by an engine that exports it
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "d1" answers "events 1-3"
    When a stream with 9000 prompt tokens is forwarded
    Then the caller gets events 1 to 3 and the end
    And the call has reached "p1, d1"
    And the generation took the prompt of "p1"

  # Guards against refusals for load that idle engines do not have: a pause of the instance is no work of theirs.
  Scenario Outline: What an export takes shows the engine's speed only if the process got on
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "p1" exports after 1000 ms
    When a stream with 9000 prompt tokens is forwarded, and the process <runs> for 1100 ms
    Then the caller's stream is whole, and "p1" is taken to compute <speed> tokens per ms

    Examples:
      | runs           | speed |
      | gets on        | 10    |
      | does not get on | 50   |

  Scenario: A broken stream that must not repeat is cut, so that it cannot look complete
    Given a "stream" route over "p1, d1, d2" with 1 endpoints for a call
    And "d1" answers "breaks 1-2"
    And "d2" answers "breaks 1-2"
    When a stream with 100 prompt tokens is forwarded
    Then the caller's answer is cut

  Scenario: A broken stream that resumes goes on after its last whole event
    Given a "resumable stream" route over "p1, d1, d2" with 2 endpoints for a call
    And "d1" answers "breaks 1-2"
    And "d2" answers "events 3-5"
    When a stream with 100 prompt tokens is forwarded that reaches "d1" first
    Then the caller gets events 1 to 5 and the end
    And the second run began after event 2

  Scenario: A resuming stream that falls silent goes on elsewhere
    Given a "resumable stream" route over "p1, d1, d2" with 2 endpoints for a call
    And "d1" answers "stalls"
    And "d2" answers "events 1-2"
    When a stream with 100 prompt tokens is forwarded that reaches "d1" first
    Then the caller gets events 1 to 2 and the end
    And the call at "d1" is taken back

  Scenario: An exported prompt survives an engine that refuses or is down
    Given a "stream" route over "p1, d1, d2" with 1 endpoints for a call
    And "d1" answers "misdirected"
    And "d2" answers "events 1-2"
    When a stream with 9000 prompt tokens is forwarded that reaches "d1" first
    Then the caller gets events 1 to 2 and the end
    And the call has reached "p1, d1, d2"
    And no exported prompt is left

  Scenario: The engine that generates is chosen when the prompt is there
    Given a "stream" route over "p1, d1, d2" with 1 endpoints for a call
    And "p1" exports after 2000 ms
    And "d1" leaves after 1000 ms
    And "d2" answers "events 1-2"
    When a stream with 9000 prompt tokens is forwarded that reaches "d1" first
    Then the caller gets events 1 to 2 and the end
    And the call has reached "p1, d2"

  Scenario: An export that does not come in time is made elsewhere
    Given a "stream" route over "p1, p2, d1" with 1 endpoints for a call
    And "p1" answers "silent"
    And "p2" answers "ok"
    And "d1" answers "events 1-2"
    When a stream with 4000 prompt tokens is forwarded that reaches "p1" first
    Then the caller gets events 1 to 2 and the end
    And the call has reached "p1, p2, d1"

  Scenario: A caller that leaves frees the prompt that was exported for it
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "d1" answers "misdirected"
    When a stream with 9000 prompt tokens is forwarded
    Then the caller gets status 503
    And the exported prompt of "p1" was freed

  Scenario: A stream that cannot begin in time goes behind the others
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "p1" has 40000 prompt tokens ahead
    And "d1" has 6000 prompt tokens ahead
    And "d1" answers "events 1-2"
    When a stream with 9000 prompt tokens is forwarded
    Then the call was sent with rank 5

  Scenario: A stream whose caller would give up first is refused at once
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "p1" has 200000 prompt tokens ahead
    And "d1" has 200000 prompt tokens ahead
    When a stream with 9000 prompt tokens is forwarded
    Then the caller gets status 503
    And the caller is told when to come back
    And the call has reached ""

  Scenario: A stream keeps away from an engine with a late prompt
    Given a "stream" route over "p1, p2, d1" with 1 endpoints for a call
    And "p1" has 40000 late prompt tokens ahead
    And "d1" has 6000 prompt tokens ahead
    And "d1" answers "events 1-2"
    When a stream with 4000 prompt tokens is forwarded
    Then the call has reached "p2, d1"

  Scenario: A large prompt is not refused for its size while little is ahead of it
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "d1" answers "events 1-2"
    When a stream with 60000 prompt tokens is forwarded
    Then the caller gets events 1 to 2 and the end
    And the call was sent with rank 5

  Scenario: An engine to which a connection is at hand generates
    Given a "stream" route over "p1, d1, d2, d3" with 1 endpoints for a call
    And a connection to "d2" is at hand
    And "d2" answers "events 1-2"
    When a stream with 9000 prompt tokens is forwarded
    Then the call has reached "p1, d2"

  Scenario: A connection at hand does not outweigh an engine's backlog
    Given a "stream" route over "p1, d1, d2" with 1 endpoints for a call
    And a connection to "d2" is at hand
    And "d2" has 6000 prompt tokens ahead
    And "d1" answers "events 1-2"
    When a stream with 9000 prompt tokens is forwarded
    Then the call has reached "p1, d1"

  Scenario: A plain call goes to the endpoint to which a connection is at hand
    Given a "at_most_once" route over "s1, s2, s3" with 1 endpoints for a call
    And a connection to "s3" is at hand
    When a call is forwarded
    Then the call has reached "s3"

  Scenario Outline: A refusal says by its cause when to come back
    Given a "at_most_once" route over "e1, e2" with 1 endpoints for a call
    And "e1" answers "<first>"
    And "e2" answers "<second>"
    When a call is forwarded
    Then the caller gets status 503
    And the caller is told to come back in <ms> ms

    Examples:
      | first       | second      | ms   |
      | full        | full        | 250  |
      | full        | unreachable | 250  |
      | unreachable | unreachable | 2500 |

  Scenario: A caller is told to come back later while no engine generates
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "d1" answers "unreachable"
    When a stream with 9000 prompt tokens is forwarded
    Then the caller gets status 503
    And the caller is told to come back in 2500 ms

  Scenario Outline: A stream that ends inside an event has been broken off, with or without a length
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "d1" answers "<answer>"
    When a stream with 100 prompt tokens is forwarded
    Then the caller's answer is cut

    Examples:
      | answer             |
      | stops 1-2          |
      | unframed stops 1-2 |

  Scenario Outline: A stream that ends inside an event resumes where it may
    Given a "resumable stream" route over "p1, d1, d2" with 2 endpoints for a call
    And "d1" answers "<answer>"
    And "d2" answers "<next>"
    When a stream with 100 prompt tokens is forwarded that reaches "d1" first
    Then the caller gets events 1 to 5 and the end
    And the second run began after event 2

    Examples:
      | answer             | next                |
      | stops 1-2          | events 3-5          |
      | unframed stops 1-2 | events 3-5          |
      | stops 1-2          | unframed events 3-5 |
      | unframed stops 1-2 | unframed events 3-5 |

  Scenario Outline: A plain answer without end is given up
    Given a "<kind>" route over "e1, e2" with 2 endpoints for a call
    And "e1" answers "<first>"
    When a call is forwarded that reaches "e1" first
    Then the caller gets status <status>
    And the call has reached "<reached>"

    Examples:
      | kind         | first           | status | reached |
      | idempotent   | endless         | 200    | e1, e2  |
      | at_most_once | endless         | 502    | e1      |
      | at_most_once | endless refusal | 200    | e1, e2  |

  Scenario: A resuming stream without the end of an event goes on elsewhere
    Given a "resumable stream" route over "p1, d1, d2" with 2 endpoints for a call
    And "d1" answers "endless"
    And "d2" answers "events 1-2"
    When a stream with 100 prompt tokens is forwarded that reaches "d1" first
    Then the caller gets events 1 to 2 and the end
    And the call has reached "d1, d2"

  Scenario: An export without end is made elsewhere
    Given a "stream" route over "p1, p2, d1" with 1 endpoints for a call
    And "p1" answers "endless"
    And "p2" answers "ok"
    And "d1" answers "events 1-2"
    When a stream with 4000 prompt tokens is forwarded that reaches "p1" first
    Then the caller gets events 1 to 2 and the end
    And the call has reached "p1, p2, d1"

  Scenario Outline: A call with a refused part reaches no endpoint
    Given a "<kind>" route over "<names>" with 2 endpoints for a call
    And endpoints have crashed under the part "bad"
    When a call with the part "bad" and <tokens> prompt tokens is forwarded
    Then the caller gets status 503
    And the caller is told when to come back
    And the call has reached ""

    Examples:
      | kind             | names      | tokens |
      | idempotent       | e1, e2     | 100    |
      | at_most_once     | e1, e2     | 100    |
      | stream           | p1, d1     | 100    |
      | stream           | p1, d1     | 9000   |
      | resumable stream | p1, d1, d2 | 9000   |

  Scenario: A prompt that is refused while it is exported is not generated from
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "p1" exports after 2000 ms
    And endpoints crash under the part "bad" after 1000 ms
    When a call with the part "bad" and 9000 prompt tokens is forwarded
    Then the caller gets status 503
    And the call has reached "p1"
    And the exported prompt of "p1" was freed

  Scenario: A stream that is refused while it runs is not resumed
    Given a "resumable stream" route over "p1, d1, d2" with 2 endpoints for a call
    And "d2" answers "stalls"
    And endpoints crash under the part "bad" after 1000 ms
    When a call with the part "bad" and 100 prompt tokens is forwarded that reaches "d2" first
    Then the caller gets status 502
    And the call has reached "d2"

  Scenario: A call that is refused while it runs is not retried
    Given a "idempotent" route over "e1, e2" with 2 endpoints for a call
    And "e1" answers "silent"
    And endpoints crash under the part "bad" after 300 ms
    When a call with the part "bad" and 100 prompt tokens is forwarded that reaches "e1" first
    Then the caller gets status 504
    And the call has reached "e1"

  Scenario Outline: No way to an endpoint leads past its limit
    Given a "<kind>" route over "<names>" with 3 endpoints for a call
    And "<first>" answers "<answer>"
    And the limits of "<limited>" are used up
    When a stream with <tokens> prompt tokens is forwarded
    Then the caller gets status <status>
    And the call has reached "<reached>"

    Examples: calls, first sends and retries
      | kind         | names  | first | answer | limited | tokens | status | reached |
      | idempotent   | e1, e2 | e2    | ok     | e1      | 1      | 200    | e2      |
      | idempotent   | e1, e2 | e1    | 500    | e2      | 1      | 500    | e1      |
      | idempotent   | e1, e2 | e1    | lost   | e2      | 1      | 502    | e1      |
      | at_most_once | e1, e2 | e1    | full   | e2      | 1      | 503    | e1      |
      | at_most_once | e1, e2 | e1    | ok     | e1, e2  | 1      | 503    |         |

    Examples: generations, exports, generations from an export, resumed streams
      | kind             | names          | first | answer     | limited | tokens | status | reached |
      | stream           | d1, d2         | d2    | events 1-3 | d1      | 100    | 200    | d2      |
      | stream           | d1, d2         | d2    | events 1-3 | d1, d2  | 100    | 503    |         |
      | stream           | p1, d1         | d1    | events 1-3 | p1      | 9000   | 200    | d1      |
      | stream           | p1, p2, d1 | d1 | events 1-3 | p1      | 9000   | 200    | p2, d1  |
      | stream | p1, d1, d2 | d2 | events 1-3 | d1 | 9000   | 200    | p1, d2  |
      | stream           | p1, d1, d2     | p1    | ok         | d1, d2  | 9000   | 503    |         |
      | resumable stream | d1, d2         | d1    | lost       | d2      | 100    | 502    | d1      |

  Scenario: A caller whose call fits no limit is told when to come back
    Given a "at_most_once" route over "e1, e2" with 1 endpoints for a call
    And the limits of "e1, e2" are used up
    When a call is forwarded
    Then the caller gets status 503
    And the caller is told when to come back

  Scenario: A suspended endpoint is tried if limits leave no room elsewhere
    Given a "at_most_once" route over "e1, e2" with 1 endpoints for a call
    And the limits of "e2" are used up
    And "e1" is suspended
    When a call is forwarded
    Then the caller gets status 200
    And the call has reached "e1"

  Scenario: A suspended engine is tried if limits leave no room elsewhere
    Given a "stream" route over "d1, d2" with 1 endpoints for a call
    And "d1" answers "events 1-3"
    And the limits of "d2" are used up
    And "d1" is suspended
    When a stream with 100 prompt tokens is forwarded
    Then the call has reached "d1"

  Scenario: A generation has room when its prompt is exported
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "d1" names a limit of 1 a second
    And "p1" exports after 700 ms
    When streams with 9000 prompt tokens are forwarded at once
    Then "p1" and "d1" got one request each
