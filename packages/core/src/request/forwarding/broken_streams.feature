Feature: A stream that broke off has nothing but its own events

  Scenario Outline: A stream that has begun gets nothing of the next engine's error
    Given a "resumable stream" route over "p1, d1, d2" with 2 endpoints for a call
    And "d1" answers "<first>"
    And "d2" answers "<next>"
    When a stream with 100 prompt tokens is forwarded that reaches "d1" first
    Then the caller has events 1 to 2 and no other bytes
    And the caller's answer is cut

    Examples:
      | first              | next            |
      | breaks 1-2         | 500             |
      | breaks 1-2         | full            |
      | breaks 1-2         | endless refusal |
      | breaks 1-2         | misdirected     |
      | breaks 1-2         | foreign         |
      | breaks 1-2         | unmarked        |
      | breaks 1-2         | encoded         |
      | breaks 1-2         | ok              |
      | breaks 1-2         | torn            |
      | breaks 1-2         | lost            |
      | breaks 1-2         | unreachable     |
      | unframed stops 1-2 | 500             |
      | unframed stops 1-2 | full            |
      | unframed stops 1-2 | ok              |
      | unframed stops 1-2 | unframed        |
