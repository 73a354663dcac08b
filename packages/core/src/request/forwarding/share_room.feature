Feature: Calls of a workspace beyond its share are refused before an endpoint is looked for

  Scenario Outline: What a call of workspace "red" gets and is counted as
    Given a "<kind>" route over "e1, e2" with 2 endpoints for a call
    And calls need a key, and shares <verdict> those of "red"
    And "e1" answers "<answer>"
    And "e2" answers "<answer>"
    When a call of "<workspace>" is forwarded that has <events> events
    Then the caller gets status <status>
    And shares have recorded "<recorded>"

    Examples:
      | kind       | verdict | answer | workspace | events | status | recorded        |
      | idempotent | admit   | ok     | red       | no     | 200    | admit 1         |
      | idempotent | refuse  | ok     | red       | no     | 503    | admit 1         |
      | idempotent | refuse  | ok     | red       | some   | 503    | admit 1         |
      | idempotent | admit   | full   | red       | no     | 503    | admit 1, full 1 |
      | idempotent | admit   | 500    | red       | no     | 500    | admit 1         |
      | idempotent | refuse  | ok     |           | no     | 200    |                 |
      | stream     | refuse  | ok     | red       | no     | 503    | admit 9         |

  Scenario: A stream that is taken up is counted and not refused
    Given shares that refuse all calls
    When a stream of "red" with 9 prompt tokens is taken up
    Then it may run, and shares have recorded "count 9"
