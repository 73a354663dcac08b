Feature: Answers without a length look complete only where they are

  # Guards against streams that look complete when the process that passes them on ends.
  Scenario Outline: A whole stream without a length is passed on in chunks
    Given a "<kind>" route over "p1, d1" with 2 endpoints for a call
    And "d1" answers "unframed events 1-3"
    When a stream with 100 prompt tokens is forwarded
    Then the caller gets events 1 to 3 and the end
    And the caller's answer is in chunks

    Examples:
      | kind             |
      | stream           |
      | resumable stream |

  # Guards against answers that end because their endpoint's process does.
  Scenario: A stream without a length whose engine has ended has been broken off
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "d1" answers "unframed events 1-3"
    And the process of "d1" has ended
    When a stream with 100 prompt tokens is forwarded
    Then the caller's answer is cut

  Scenario: A stream without a length whose engine has ended resumes where it may
    Given a "resumable stream" route over "p1, d1, d2" with 2 endpoints for a call
    And "d1" answers "unframed events 1-3"
    And the process of "d1" has ended
    And "d2" answers "events 4-5"
    When a stream with 100 prompt tokens is forwarded that reaches "d1" first
    Then the caller gets events 1 to 5 and the end

  Scenario: A plain answer without a length whose endpoint has ended is none
    Given a "at_most_once" route over "e1" with 1 endpoints for a call
    And "e1" answers "unframed"
    And the process of "e1" has ended
    When a call is forwarded
    Then the caller gets status 502

  Scenario: A stream without a length and without an event is no answer
    Given a "stream" route over "p1, d1" with 1 endpoints for a call
    And "d1" answers "unframed nothing"
    When a stream with 100 prompt tokens is forwarded
    Then the caller gets status 502
