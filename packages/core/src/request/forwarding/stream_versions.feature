Feature: What software versions write stays apart

  Scenario Outline: A broken stream goes on only at the software version that began it
    Given a "resumable stream" route over "d1, d2, d3" with 3 endpoints for a call
    And the software versions are "<versions>"
    And "d1" answers "breaks 1-3"
    And "d2" answers "events 4-6"
    And "d3" answers "events 4-6"
    When a stream with 100 prompt tokens is forwarded that reaches "d1" first
    Then the call has reached "<reached>"

    Examples:
      | versions               | reached |
      | d1 v1, d2 v2, d3 v1    | d1, d3  |
      | d1 v10, d2 v10, d3 v9  | d1, d2  |
      | d1 v1, d2 v1.1, d3 v01 | d1      |

  # Guards against streams in which the version of the weights goes back (ORDER).
  Scenario Outline: A broken stream goes on only with the weights of its last event
    Given a "resumable stream" route over "d1, d2, d3" with 3 endpoints for a call
    And the weights are "<weights>"
    And "d1" answers "breaks 1-3"
    And "d2" answers "events 4-6"
    And "d3" answers "events 4-6"
    When a stream with 100 prompt tokens is forwarded that reaches "d1" first
    Then "<engine>" was the last engine that ran it
    And no engine is suspended but "d1"

    Examples:
      | weights                | engine |
      | d1 5, d2 4, d3 5       | d3     |
      | d1 5, d2 5, d3 6       | d2     |
      | d1 4, event 3 5, d2 4, d3 5 | d3     |
      | d1 5, d2 4, d3 4       | d1     |

  Scenario: Engines that are listed with other weights are not asked
    Given a "resumable stream" route over "d1, d2, d3" with 3 endpoints for a call
    And the weights are "d1 5, d2 4, d3 5"
    And "d2" is listed with the weights 4
    And "d1" answers "breaks 1-3"
    And "d3" answers "events 4-6"
    When a stream with 100 prompt tokens is forwarded that reaches "d1" first
    Then the call has reached "d1, d3"

  Scenario Outline: Prompts pass only between engines of one software version
    Given a "stream" route over "<names>" with 1 endpoints for a call
    And the software versions are "<versions>"
    When a stream with 9000 prompt tokens is forwarded
    Then the call has reached "<reached>"

    Examples:
      | names      | versions            | reached |
      | p1, d1, d2 | p1 v2, d1 v1, d2 v2 | p1, d2  |
      | p1, d1     | p1 v2, d1 v1        | d1      |

  Scenario Outline: An engine copies cached parts only from engines of its software version
    Given a "stream" route over "p2, d1" with 1 endpoints for a call
    And the software versions are "<versions>"
    And "p2" has computed the shared part and has many prompts ahead
    When a stream with the shared part is forwarded
    Then the engine copies <what>

    Examples:
      | versions            | what    |
      | p2 v1, d1 v1 | from p2 |
      | p2 v2, d1 v1 | nothing |

  Scenario: A stream that cannot go on is refused at once
    Given a "resumable stream" route over "d1, d2" with 3 endpoints for a call
    And the software versions are "d1 v1, d2 v2"
    When a call takes up a stream that no instance knows
    Then the caller gets status 503
    And the caller is told when to come back
    And the call has reached ""

  Scenario: A stream whose version has left is refused at once
    Given a "resumable stream" route over "d1, d2" with 3 endpoints for a call
    And the software versions are "d1 v1, d2 v2"
    And the stream "first" has begun at "d1"
    And "d1" leaves after 0 ms
    When a call takes up the stream "first"
    Then the caller gets status 503
    And the caller is told when to come back
    And the call has reached ""
