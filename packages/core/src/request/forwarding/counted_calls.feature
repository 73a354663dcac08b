Feature: A call is counted once, when it first begins to run

  Scenario Outline: A stream counts with its first event
    Given a "resumable stream" route over "p1, d1, d2" with 2 endpoints for a call
    And "d1" answers "<first>"
    And "d2" answers "<next>"
    When a stream with 100 prompt tokens is forwarded that reaches "d1" first
    Then <calls> call is counted as begun
    And 100 prompt tokens are counted as missing

    Examples:
      | first      | next | calls |
      | ok         | ok   | 1     |
      | breaks 1-2 | ok   | 1     |
      | full       | ok   | 1     |
      | lost       | ok   | 1     |
      | full       | full | 0     |
      | 500        | 500  | 0     |

  Scenario: A stream that is taken up counted when it began
    Given a "resumable stream" route over "p1, d1, d2" with 2 endpoints for a call
    And the stream "before" has begun at "d1"
    When a call takes up the stream "before"
    Then 0 call is counted as begun

  Scenario Outline: A plain call counts where it may have run
    Given a "idempotent" route over "a1, b1" with 2 endpoints for a call
    And "a1" answers "<first>"
    When a call is forwarded that reaches "a1" first
    Then <calls> call is counted as begun

    Examples:
      | first       | calls |
      | ok          | 1     |
      | 500         | 1     |
      | lost        | 1     |
      | unreachable | 1     |
